package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/bounded"
	"greengagespoke/traffic"
)

// reappearGrace is how long, after the registry is readable again, an upstream is kept
// although its entry expired. The platform restores the entries of live upstreams
// within 2 s.
const reappearGrace = 2200 * time.Millisecond

// maxKeptAfterExpiry bounds how long such an upstream is kept after its entry was
// removed. It may have stopped in the meantime, and a stopped upstream must not get new
// requests for longer than 2 s.
const maxKeptAfterExpiry = 1300 * time.Millisecond

const (
	// restoredEntryTime is how long, after the registry came back from an older copy, entries
	// that are read as a whole may be from before an upstream left.
	restoredEntryTime = 4 * time.Second
	// leftTTL is how long it is kept that a process left. Copies of the registry are some
	// seconds old.
	leftTTL = time.Minute
)

// registry holds the upstreams in the registry as this host last read it, and those
// that are kept although their entries expired.
type registry struct {
	known map[domain.UpstreamID]*traffic.Upstream
	// expired holds the upstreams whose entries were removed right after an outage of
	// the registry, with the time until which they are kept.
	expired map[domain.UpstreamID]time.Time
	// regainedAt is when the registry last became readable after an outage.
	regainedAt time.Time
	unreadable bool
	// left holds the processes that began to drain or whose entries were removed, with the
	// time. Until restoredUntil they are not taken for ready again by a whole read.
	left          map[traffic.Incarnation]time.Time
	restoredUntil time.Time
	// announced holds the processes that said in a response that they leave, whatever the
	// registry says of them.
	announced *bounded.Map[traffic.Incarnation, bool]
}

// maxAnnounced bounds the processes of which it is kept that they said so.
const maxAnnounced = 4096

func newRegistry() registry {
	return registry{
		known: make(map[domain.UpstreamID]*traffic.Upstream), expired: make(map[domain.UpstreamID]time.Time), left: make(map[traffic.Incarnation]time.Time),
		announced: bounded.New[traffic.Incarnation, bool](maxAnnounced),
	}
}

// upstreamSnapshot is an immutable snapshot of the registered upstreams.
type upstreamSnapshot struct {
	// ready holds the upstreams that accept new requests, sorted by identifier.
	ready map[traffic.ServiceName][]*traffic.Upstream
	all   map[domain.UpstreamID]*traffic.Upstream
}

// Ready returns the upstreams of a service that accept new requests, sorted by
// identifier. The result is shared and must not be modified.
func (c *Catalog) Ready(service traffic.ServiceName) []*traffic.Upstream {
	return c.snapshot.Load().ready[service]
}

// Registered returns the upstreams of a service in any state, sorted by identifier.
func (c *Catalog) Registered(service traffic.ServiceName) []*traffic.Upstream {
	var registered []*traffic.Upstream
	for _, u := range c.snapshot.Load().all {
		if u.Service == service {
			registered = append(registered, u)
		}
	}
	slices.SortFunc(registered, func(a, b *traffic.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return registered
}

// Current reports whether this incarnation of an upstream accepts new requests.
func (c *Catalog) Current(u *traffic.Upstream) bool {
	registered, ok := c.snapshot.Load().all[u.ID]
	return ok && registered.State == traffic.UpstreamReady && registered.Incarnation() == u.Incarnation()
}

// Known reports whether this incarnation of an upstream is still registered, ready or
// draining.
func (c *Catalog) Known(u *traffic.Upstream) bool {
	registered, ok := c.snapshot.Load().all[u.ID]
	return ok && registered.Incarnation() == u.Incarnation()
}

// Announced records that an upstream said in a response that it leaves. From then on it takes no
// new requests of this host, also if the registry cannot be read or says that it is ready. Other
// hosts are not told: one wrong word must not take a service out of use everywhere.
func (c *Catalog) Announced(u *traffic.Upstream) {
	registered, ok := c.snapshot.Load().all[u.ID]
	if !ok || registered.Incarnation() != u.Incarnation() || registered.State == traffic.UpstreamDraining {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.announced.Entries[u.Incarnation()] {
		return
	}
	c.registry.announced.Put(u.Incarnation(), true)
	klog.InfoS("upstream says that it leaves", "upstream", u.ID, "service", u.Service, "process", u.Incarnation().String())
	c.publish()
}

// AnnouncedProcess does the same for the process with a name, as Incarnation.String returns it.
func (c *Catalog) AnnouncedProcess(name string) {
	for _, u := range c.snapshot.Load().all {
		if u.Incarnation().String() == name {
			c.Announced(u)
			return
		}
	}
}

// RegistryLost records that the registry cannot be read.
func (c *Catalog) RegistryLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.unreadable = true
}

// RegistryRegained records that the registry can be read again.
func (c *Catalog) RegistryRegained(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.unreadable {
		c.registry.unreadable = false
		c.registry.regainedAt = now
	}
}

// RegistryRestored records that the registry came back from an older copy. Entries that were
// written since are missing until the platform restores them, and entries of upstreams that
// left since may be back.
func (c *Catalog) RegistryRestored(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.unreadable = false
	c.registry.regainedAt, c.registry.restoredUntil = now, now.Add(restoredEntryTime)
}

// noteLeft notes that a process left.
func (c *Catalog) noteLeft(u *traffic.Upstream, now time.Time) {
	for process, at := range c.registry.left {
		if now.Sub(at) > leftTTL {
			delete(c.registry.left, process)
		}
	}
	c.registry.left[u.Incarnation()] = now
}

// forgetAnnounced forgets what a removed process said of leaving if its start is not known: the
// next process with its identifier and address cannot be told from it.
func (c *Catalog) forgetAnnounced(u *traffic.Upstream) {
	if u.StartedAtMillis == 0 {
		c.registry.announced.Remove(u.Incarnation())
	}
}

// outdated reports whether an entry of a whole read is from a copy that is older than what
// is known of the upstream.
func (c *Catalog) outdated(u *traffic.Upstream, now time.Time) bool {
	if !now.Before(c.registry.restoredUntil) {
		return false
	}
	known, isKnown := c.registry.known[u.ID]
	if isKnown && known.StartedAtMillis > u.StartedAtMillis {
		return true
	}
	leftAt, left := c.registry.left[u.Incarnation()]
	return left && u.State == traffic.UpstreamReady && now.Sub(leftAt) <= leftTTL
}

// Change applies changes of registry entries in order. After an outage of the registry
// the entry of a live upstream may expire before the platform restores it, so a ready
// upstream whose entry is removed then is kept until RemoveExpired removes it.
func (c *Catalog) Change(changes []traffic.UpstreamChange, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Upstream == nil {
			c.remove(change.ID, now)
		} else {
			c.put(change.Upstream, now)
		}
	}
	c.publish()
}

func (c *Catalog) put(u *traffic.Upstream, now time.Time) {
	previous, known := c.registry.known[u.ID]
	if u.State == traffic.UpstreamDraining {
		c.noteLeft(u, now)
	} else {
		delete(c.registry.left, u.Incarnation())
	}
	delete(c.registry.expired, u.ID)
	c.registry.known[u.ID] = u
	if !known || previous.State != u.State || previous.Role != u.Role || previous.Incarnation() != u.Incarnation() {
		klog.InfoS("upstream registered", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"zone", u.Zone, "role", u.Role, "draining", u.State == traffic.UpstreamDraining, "born", u.StartedAtMillis, "software", u.Version)
	}
}

func (c *Catalog) remove(id domain.UpstreamID, now time.Time) {
	u, known := c.registry.known[id]
	if !known {
		return
	}
	keepUntil := c.registry.regainedAt.Add(reappearGrace)
	if latest := now.Add(maxKeptAfterExpiry); keepUntil.After(latest) {
		keepUntil = latest
	}
	if u.State == traffic.UpstreamReady && !c.registry.regainedAt.IsZero() && now.Before(keepUntil) {
		if _, alreadyExpired := c.registry.expired[id]; !alreadyExpired {
			c.registry.expired[id] = keepUntil
			klog.InfoS("upstream entry lapsed", "upstream", id, "kept", keepUntil.Sub(now))
		}
		return
	}
	c.noteLeft(u, now)
	c.forgetAnnounced(u)
	delete(c.registry.known, id)
	delete(c.registry.expired, id)
	klog.InfoS("upstream removed", "upstream", id, "service", u.Service, "address", u.Address)
}

// Replace applies a complete read of the registry: listed upstreams are added or
// updated, others are removed as by Change.
func (c *Catalog) Replace(all []*traffic.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[domain.UpstreamID]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
		if c.outdated(u, now) {
			klog.InfoS("upstream entry ignored, as it is from an older copy", "upstream", u.ID, "born", u.StartedAtMillis)
			continue
		}
		c.put(u, now)
	}
	for _, id := range slices.Collect(maps.Keys(c.registry.known)) {
		if !listed[id] {
			c.remove(id, now)
		}
	}
	c.publish()
}

// RemoveExpired removes the upstreams whose expired entries were not restored in time.
func (c *Catalog) RemoveExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for id, keepUntil := range c.registry.expired {
		if now.Before(keepUntil) {
			continue
		}
		klog.InfoS("upstream removed", "upstream", id, "reason", "its entry did not come back")
		c.noteLeft(c.registry.known[id], now)
		c.forgetAnnounced(c.registry.known[id])
		delete(c.registry.expired, id)
		delete(c.registry.known, id)
		changed = true
	}
	if changed {
		c.publish()
	}
}

// publish stores a snapshot of the registered upstreams for readers. The caller must
// hold the lock.
func (c *Catalog) publish() {
	next := &upstreamSnapshot{ready: make(map[traffic.ServiceName][]*traffic.Upstream), all: maps.Clone(c.registry.known)}
	for id, u := range c.registry.known {
		if u.State == traffic.UpstreamReady && c.registry.announced.Entries[u.Incarnation()] {
			leaving := *u
			leaving.State = traffic.UpstreamDraining
			next.all[id] = &leaving
			continue
		}
		if u.State == traffic.UpstreamReady {
			next.ready[u.Service] = append(next.ready[u.Service], u)
		}
	}
	for _, list := range next.ready {
		slices.SortFunc(list, func(a, b *traffic.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	c.snapshot.Store(next)
}
