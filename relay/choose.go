package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

// candidate is the best-scored host of one availability zone to relay through.
type candidate struct {
	host  domain.HostID
	zone  domain.Zone
	score uint64
}

// chooseHosts returns the hosts to relay a cancel through, in the order in which
// they are tried: one alive host of the upstream's availability zone, then one
// of each other zone, with the zones of the upstream's region first and this
// host's own zone last. The host within a zone varies with the attempt and the
// time, so that a faulty host is not selected every time.
func chooseHosts(self domain.Member, members []domain.Member, attempt Attempt, now time.Time) []domain.HostID {
	best := make(map[domain.Zone]candidate)
	for _, m := range members {
		if m.ID == self.ID || m.State != domain.MemberAlive {
			continue
		}
		c := candidate{host: m.ID, zone: m.Zone, score: hostScore(m.ID, attempt.ID, now)}
		if old, ok := best[m.Zone]; !ok || c.score > old.score {
			best[m.Zone] = c
		}
	}
	ordered := make([]candidate, 0, len(best))
	for _, c := range best {
		ordered = append(ordered, c)
	}
	slices.SortFunc(ordered, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(x.zone, attempt.Upstream.Zone, self.Zone), zoneDistance(y.zone, attempt.Upstream.Zone, self.Zone)),
			cmp.Compare(x.score, y.score),
			cmp.Compare(x.host, y.host),
		)
	})
	hosts := make([]domain.HostID, 0, maxRelayHosts)
	for _, c := range ordered[:min(len(ordered), maxRelayHosts)] {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// zoneDistance ranks a zone by its distance from the upstream's zone; 0 is the
// nearest. This host's own zone ranks last unless it is the upstream's zone.
func zoneDistance(zone, upstream, self domain.Zone) int {
	switch {
	case zone == upstream:
		return 0
	case zone == self:
		return 3
	case zone.Region() == upstream.Region():
		return 1
	default:
		return 2
	}
}

// hostScore returns a pseudo-random score for a host. The host with the highest
// score in its zone is chosen for the attempt at that time.
func hostScore(host domain.HostID, id domain.AttemptID, now time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", host, id.Key(), id.Attempt, now.UnixMilli()))
}
