package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/rendezvous"
	"greengagespoke/traffic"
)

const (
	// partCount is the number of parts of a quota: the loss of one leaves two thirds of it, which is
	// 1.2 times the usual demand of 1 / 1.8.
	partCount = 3
	// largestRequest is the number of tokens that the bucket of each part must hold if there are
	// several. Prompts have up to 6,760 tokens.
	largestRequest = 8192
	// minViewInterval is the least time between two looks at the members.
	minViewInterval = tickInterval / 2
	// maxViews bounds the views that are kept. A bucket of a part that was not asked for before is
	// filled since the oldest one at most.
	maxViews = 8
)

// partsOf returns the number of parts of a quota. A small burst is not split, as no part could then
// grant a large request.
func partsOf(q traffic.Quota) int {
	least := 1.0
	if q.Unit == traffic.QuotaTokens {
		least = largestRequest
	}
	if q.Burst < partCount*least {
		return 1
	}
	return partCount
}

// view is what the granting hosts follow from: the members of each availability zone.
type view struct {
	since   time.Duration
	members []domain.Member
	zones   []domain.Zone
	byZone  map[domain.Zone]*zoneHosts
	// left holds the incarnations of hosts that announced that they leave. They grant nothing more,
	// also if they no longer answer.
	left map[domain.HostID]uint64
}

// zoneHosts are the hosts of a zone that may grant, in any state but leaving, and the number of those
// that are alive.
type zoneHosts struct {
	present []domain.Member
	alive   int
}

// newView returns the view of members. previous may be nil.
func newView(members []domain.Member, since time.Duration, previous *view) *view {
	v := &view{since: since, members: members, byZone: make(map[domain.Zone]*zoneHosts), left: make(map[domain.HostID]uint64)}
	for _, m := range members {
		switch {
		case m.State == domain.MemberLeaving:
			v.left[m.ID] = m.Incarnation
		case m.State != domain.MemberAlive && previous != nil:
			if incarnation, ok := previous.left[m.ID]; ok && incarnation == m.Incarnation {
				v.left[m.ID] = incarnation
			}
		}
		z := v.byZone[m.Zone]
		if z == nil {
			z = new(zoneHosts)
			v.byZone[m.Zone], v.zones = z, append(v.zones, m.Zone)
		}
		if _, left := v.left[m.ID]; left {
			continue
		}
		z.present = append(z.present, m)
		if m.State == domain.MemberAlive {
			z.alive++
		}
	}
	slices.Sort(v.zones)
	return v
}

// isOf reports whether the view follows from members.
func (v *view) isOf(members []domain.Member) bool {
	if len(members) == len(v.members) && (len(members) == 0 || &members[0] == &v.members[0]) {
		return true
	}
	return slices.EqualFunc(members, v.members, func(a, b domain.Member) bool {
		return a.ID == b.ID && a.Zone == b.Zone && a.State == b.State && a.Incarnation == b.Incarnation
	})
}

func hashOf(texts ...string) uint64 {
	d := xxhash.New()
	for _, text := range texts {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// zone returns the availability zone of a part. Zones without an alive host keep their parts, as
// they may be cut off and grant them.
func (v *view) zone(customer traffic.CustomerName, part int) domain.Zone {
	zones := slices.Clone(v.zones)
	if len(zones) == 0 {
		return ""
	}
	slices.SortFunc(zones, func(a, b domain.Zone) int {
		return cmp.Compare(hashOf(string(customer), string(a)), hashOf(string(customer), string(b)))
	})
	return zones[part%len(zones)]
}

// grantingHost returns the host that grants a part, or false if there is none: if less than half of
// the hosts of the zone are alive, the others may be cut off and have chosen another one.
func (v *view) grantingHost(customer traffic.CustomerName, part int) (host domain.HostID, zone domain.Zone, ok bool) {
	zone = v.zone(customer, part)
	z := v.byZone[zone]
	if z == nil {
		return "", zone, false
	}
	key := hashOf(string(customer)) + uint64(part) //nolint:gosec // Parts are few.
	host, ok = rendezvous.Highest(z.present, key)
	if !ok || 2*z.alive < len(z.present) {
		return "", zone, false
	}
	if 2*z.alive > len(z.present) {
		return host, zone, true
	}
	// Of two halves of a zone, the one grants that sees most hosts of all zones. If both see half of
	// them, too, it is the one with the highest-ranked host.
	alive, present := 0, 0
	for _, other := range v.byZone {
		alive, present = alive+other.alive, present+len(other.present)
	}
	ok = 2*alive > present
	if 2*alive == present {
		all := slices.Clone(z.present)
		for i := range all {
			all[i].State = domain.MemberAlive
		}
		first, _ := rendezvous.Highest(all, key)
		ok = first == host
	}
	return host, zone, ok
}

// observeView takes over the members of now and returns the view. Each change costs a ranking of all
// parts, so it looks at the members a few times a second only. q.mu must be held.
func (q *Quotas) observeView(now time.Duration) *view {
	if q.view != nil && now-q.viewedAt < minViewInterval {
		return q.view
	}
	q.viewedAt = now
	members := q.cfg.Members()
	if q.view != nil && q.view.isOf(members) {
		return q.view
	}
	v := newView(members, now, q.view)
	q.view = v
	q.current.Store(v)
	q.views = append(q.views, v)
	if len(q.views) > maxViews {
		q.views = slices.Delete(q.views, 0, 1)
	}
	for key, p := range q.parts {
		best := q.grantsIn(v, key)
		if best && !p.best {
			p.since = now
		}
		p.best = best
	}
	return v
}

// grantsIn reports whether this host grants a part in a view.
func (q *Quotas) grantsIn(v *view, key partKey) bool {
	host, _, ok := v.grantingHost(key.customer, key.part)
	return ok && host == q.cfg.Self
}

// grantingSince returns since when this host grants a part without a break, as far as it knows.
func (q *Quotas) grantingSince(key partKey) (since time.Duration, grants bool) {
	for i := len(q.views) - 1; i >= 0 && q.grantsIn(q.views[i], key); i-- {
		since, grants = q.views[i].since, true
	}
	return since, grants
}
