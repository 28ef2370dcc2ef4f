// Package rendezvous chooses hosts for a key by rendezvous hashing (Thaler and Ravishankar,
// 1998). Hosts with the same view of the members choose the same ones.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

func score(host domain.HostID, key uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(host), key))
}

// Best returns the alive host with the highest score for a key. It returns self only if self is the
// best one, or if it sees no other alive host: a host that leaves is not chosen by the others either.
func Best(self domain.HostID, members []domain.Member, key uint64) domain.HostID {
	best, known := Highest(members, key)
	counted := !slices.ContainsFunc(members, func(m domain.Member) bool { return m.ID == self && m.State != domain.MemberAlive })
	if !known || counted && score(self, key) >= score(best, key) {
		return self
	}
	return best
}

// Highest returns the alive host with the highest score for a key, or false if no host is alive.
func Highest(members []domain.Member, key uint64) (best domain.HostID, ok bool) {
	highest := uint64(0)
	for _, m := range members {
		if m.State != domain.MemberAlive {
			continue
		}
		if s := score(m.ID, key); !ok || s > highest {
			best, highest, ok = m.ID, s, true
		}
	}
	return best, ok
}

// scored is a host with its score for a key. round is its rank within its zone.
type scored struct {
	host  domain.HostID
	zone  domain.Zone
	score uint64
	round int
}

// Spread returns the alive members in the order in which they are chosen for a key: the best
// one of each availability zone first, then the second one of each, and so on.
func Spread(members []domain.Member, key uint64) []domain.HostID {
	all := make([]scored, 0, len(members))
	for _, m := range members {
		if m.State == domain.MemberAlive {
			all = append(all, scored{host: m.ID, zone: m.Zone, score: score(m.ID, key)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make(map[domain.Zone]int)
	for i := range all {
		all[i].round = chosen[all[i].zone]
		chosen[all[i].zone]++
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(a.round, b.round) })
	hosts := make([]domain.HostID, len(all))
	for i, s := range all {
		hosts[i] = s.host
	}
	return hosts
}
