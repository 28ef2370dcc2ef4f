package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
)

// reappearGrace is how long an upstream whose entry lapsed may stay missing after
// the store is back: the platform restores entries of live ones within 2 s.
const reappearGrace = 2200 * time.Millisecond

// longestKept is how long such an upstream is kept after its entry went missing: one
// that left meanwhile must get nothing new for longer than 2 s.
const longestKept = 1300 * time.Millisecond

// members is what the registry says of the upstreams.
type members struct {
	known map[domain.UpstreamID]*traffic.Upstream
	// lapsed holds the upstreams that went missing around an outage of the
	// registry, with the time until which they are kept.
	lapsed map[domain.UpstreamID]time.Time
	// returned is when the registry was last regained after an outage.
	returned time.Time
	lost     bool
}

func newMembers() members {
	return members{known: make(map[domain.UpstreamID]*traffic.Upstream), lapsed: make(map[domain.UpstreamID]time.Time)}
}

// upstreamView is a snapshot of the upstreams that take new work.
type upstreamView struct {
	ready map[traffic.ServiceName][]*traffic.Upstream
	all   map[domain.UpstreamID]*traffic.Upstream
}

// Ready returns the upstreams of a service that take new work, sorted by
// identifier. The result is shared and must not be changed.
func (c *Catalog) Ready(service traffic.ServiceName) []*traffic.Upstream {
	return c.upstreams.Load().ready[service]
}

// Current reports whether this life of an upstream still takes new work.
func (c *Catalog) Current(u *traffic.Upstream) bool {
	now, ok := c.upstreams.Load().all[u.ID]
	return ok && now.State == traffic.UpstreamReady && now.Incarnation() == u.Incarnation()
}

// Known reports whether this life of an upstream is still registered, be it
// draining.
func (c *Catalog) Known(u *traffic.Upstream) bool {
	now, ok := c.upstreams.Load().all[u.ID]
	return ok && now.Incarnation() == u.Incarnation()
}

// RegistryLost notes that the registry cannot be read.
func (c *Catalog) RegistryLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members.lost = true
}

// RegistryRegained notes that the registry can be read again.
func (c *Catalog) RegistryRegained(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members.lost {
		c.members.lost = false
		c.members.returned = now
	}
}

// Change takes changes of entries in order. Around an outage of the registry the
// entry of a live upstream ends and comes back, so it is kept for a while.
func (c *Catalog) Change(changes []traffic.UpstreamChange, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Upstream == nil {
			c.remove(change.ID, now)
		} else {
			c.put(change.Upstream)
		}
	}
	c.publish()
}

func (c *Catalog) put(u *traffic.Upstream) {
	before, known := c.members.known[u.ID]
	delete(c.members.lapsed, u.ID)
	c.members.known[u.ID] = u
	if !known || before.State != u.State || before.Role != u.Role || before.Incarnation() != u.Incarnation() {
		klog.InfoS("upstream registered", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"zone", u.Zone, "role", u.Role, "draining", u.State == traffic.UpstreamDraining, "born", u.Born)
	}
}

func (c *Catalog) remove(id domain.UpstreamID, now time.Time) {
	u, known := c.members.known[id]
	if !known {
		return
	}
	until := c.members.returned.Add(reappearGrace)
	if latest := now.Add(longestKept); until.After(latest) {
		until = latest
	}
	if u.State == traffic.UpstreamReady && !c.members.returned.IsZero() && now.Before(until) {
		if _, kept := c.members.lapsed[id]; !kept {
			c.members.lapsed[id] = until
			klog.InfoS("upstream entry lapsed", "upstream", id, "kept", until.Sub(now))
		}
		return
	}
	delete(c.members.known, id)
	delete(c.members.lapsed, id)
	klog.InfoS("upstream removed", "upstream", id, "service", u.Service, "address", u.Address)
}

// Replace takes a full read of the registry.
func (c *Catalog) Replace(all []*traffic.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[domain.UpstreamID]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
		c.put(u)
	}
	for _, id := range slices.Collect(maps.Keys(c.members.known)) {
		if !listed[id] {
			c.remove(id, now)
		}
	}
	c.publish()
}

// ExpireLapsed removes the upstreams whose entries did not come back in time.
func (c *Catalog) ExpireLapsed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for id, until := range c.members.lapsed {
		if now.Before(until) {
			continue
		}
		klog.InfoS("upstream removed", "upstream", id, "reason", "its entry did not come back")
		delete(c.members.lapsed, id)
		delete(c.members.known, id)
		changed = true
	}
	if changed {
		c.publish()
	}
}

// publish makes readers see the current upstreams. The caller holds the lock.
func (c *Catalog) publish() {
	view := &upstreamView{ready: make(map[traffic.ServiceName][]*traffic.Upstream), all: maps.Clone(c.members.known)}
	for _, u := range c.members.known {
		if u.State == traffic.UpstreamReady {
			view.ready[u.Service] = append(view.ready[u.Service], u)
		}
	}
	for _, list := range view.ready {
		slices.SortFunc(list, func(a, b *traffic.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	c.upstreams.Store(view)
}
