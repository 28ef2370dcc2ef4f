package storerelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

const (
	// smallFleet is the number of hosts up to which all of them read the store: the
	// calls cost less than the hop.
	smallFleet = 16
	// readersPerZone is the number of hosts of an availability zone that read the
	// store in a large fleet: one, and one for the case that it fails.
	readersPerZone = 2
)

// Large reports whether a fleet is so large that its hosts relay the store.
func Large(hosts int) bool { return hosts > smallFleet }

// Readers returns the other hosts that relay the store to this one, the preferred
// one first, or direct true where this host reads the store itself.
func Readers(self domain.HostID, members []domain.Member) (readers []domain.HostID, direct bool) {
	i := slices.IndexFunc(members, func(m domain.Member) bool { return m.ID == self })
	if !Large(len(members)) || i < 0 {
		return nil, true
	}
	var near []domain.HostID
	for _, m := range members {
		if m.Zone == members[i].Zone && (m.ID == self || m.State == domain.MemberAlive && m.Incarnation > 0) {
			near = append(near, m.ID)
		}
	}
	if len(near) <= readersPerZone {
		return nil, true
	}
	slices.SortFunc(near, func(a, b domain.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	near = near[:readersPerZone]
	if slices.Contains(near, self) {
		return nil, true
	}
	// Half of the zone's hosts ask each reader first.
	if xxhash.Sum64String(string(self))%2 == 1 {
		slices.Reverse(near)
	}
	return near, false
}
