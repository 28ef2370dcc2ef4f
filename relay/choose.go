package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

// candidate is a host that may be asked.
type candidate struct {
	host  domain.HostID
	zone  domain.Zone
	score uint64
}

// choose returns the hosts to ask, best first: one alive host of the upstream's
// own availability zone, then one of each other zone, the zones of the
// upstream's region first and the asking host's own zone last. The hosts of a
// zone take turns by attempt and time, so that a bad one is not asked always.
func choose(self domain.Member, members []domain.Member, a Attempt, now time.Time) []domain.HostID {
	best := make(map[domain.Zone]candidate)
	for _, m := range members {
		if m.ID == self.ID || m.State != domain.MemberAlive {
			continue
		}
		c := candidate{host: m.ID, zone: m.Zone, score: score(m.ID, a.ID, now)}
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
			cmp.Compare(distance(x.zone, a.Upstream.Zone, self.Zone), distance(y.zone, a.Upstream.Zone, self.Zone)),
			cmp.Compare(x.score, y.score),
			cmp.Compare(x.host, y.host),
		)
	})
	hosts := make([]domain.HostID, 0, maxAsked)
	for _, c := range ordered[:min(len(ordered), maxAsked)] {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// distance ranks the zone of a host by its distance from the upstream.
func distance(zone, upstream, own domain.Zone) int {
	switch {
	case zone == upstream:
		return 0
	case zone == own:
		return 3
	case zone.Region() == upstream.Region():
		return 1
	default:
		return 2
	}
}

// score ranks the hosts of one zone for an attempt at a time.
func score(host domain.HostID, id domain.AttemptID, now time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", host, id.Key(), id.Attempt, now.UnixMilli()))
}
