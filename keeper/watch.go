package keeper

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// listInterval is the time between listings of an engine, loadInterval between
	// reads of its load and cache events, and hostListInterval between reads of the
	// host list.
	listInterval     = 2 * time.Second
	loadInterval     = time.Second
	hostListInterval = time.Second
	// cacheResyncInterval is the time without a cache event after which all events
	// are requested again, as a restarted engine starts its sequence numbers anew.
	cacheResyncInterval = 30 * time.Second
)

// pollHostList reads the host list and marks the upstreams that are leaving.
func (k *Keeper) pollHostList(ctx context.Context) {
	if k.cfg.HostList == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	hosts, err := k.cfg.HostList.Hosts(ctx)
	if err != nil {
		k.metrics.hostListErrors.Add(1)
		return
	}
	leaving := make(map[domain.UpstreamID]bool)
	for _, h := range hosts {
		if h.Leaving {
			leaving[domain.UpstreamID(h.Name)] = true
		}
	}
	k.mu.Lock()
	k.leaving = leaving
	k.mu.Unlock()
	for _, g := range k.ownedGroups() {
		g.markLeaving(leaving)
	}
}

// markLeaving stops new grants on upstreams that are leaving.
func (g *group) markLeaving(leaving map[domain.UpstreamID]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams() {
		u.leaving = leaving[u.up.ID]
	}
	g.dispatch(time.Now())
}

// upstreams returns the states of the group's upstreams in both roles.
func (g *group) upstreams() []*upstreamState {
	out := make([]*upstreamState, 0, len(g.prefill)+len(g.decode))
	for _, p := range g.prefill {
		out = append(out, &p.upstreamState)
	}
	for _, d := range g.decode {
		out = append(out, &d.upstreamState)
	}
	return out
}

// requestListings asks the engines of the group what they run. With onlyUnknown
// set, it asks only those that have not answered yet or whose last call failed.
func (g *group) requestListings(onlyUnknown bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	for _, u := range g.upstreams() {
		if !onlyUnknown || !u.listed || u.failedCalls > 0 {
			g.requestListing(u)
		}
	}
}

// pollPrefill reads the load reports and the cache events of the prefill
// engines.
func (g *group) pollPrefill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range g.prefill {
		if p.polling || !p.usable(now) {
			continue
		}
		p.polling = true
		after := g.prefixIndex.Sequence(p.position)
		resync := now.Sub(p.lastCacheEvent) > cacheResyncInterval
		if resync {
			after = 0
		}
		engine := g.keeper.cfg.Upstreams.Engine(p.up)
		g.keeper.tasks.spawn(func(ctx context.Context) { g.pollPrefillOnce(ctx, p, engine, after, resync) })
	}
}

func (g *group) pollPrefillOnce(ctx context.Context, p *prefillState, engine ports.Engine, after uint64, resync bool) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	load, loadErr := engine.Load(ctx)
	events, eventErr := engine.CacheEvents(ctx, after)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p.polling = false
	if loadErr != nil || eventErr != nil {
		g.keeper.metrics.engineErrors.Add(1)
	}
	if loadErr == nil {
		p.applyLoadReport(now, load)
	}
	if eventErr == nil && g.prefillByPosition[p.position] == p {
		g.applyCacheEvents(p, events, resync, now)
	}
}

// applyCacheEvents applies cache events to the prefix index. If the last
// sequence number after a resync is below the known one, the engine was
// restarted and its cache is empty.
func (g *group) applyCacheEvents(p *prefillState, events []ports.CacheEvent, resync bool, now time.Time) {
	if resync {
		p.lastCacheEvent = now
		last := uint64(0)
		if len(events) > 0 {
			last = events[len(events)-1].Sequence
		}
		if last < g.prefixIndex.Sequence(p.position) {
			g.prefixIndex.Forget(p.position)
		}
	}
	if len(events) == 0 {
		return
	}
	p.lastCacheEvent = now
	g.keeper.metrics.cacheEvents.Add(int64(len(events)))
	g.prefixIndex.Apply(p.position, events)
}

// resetPrefill discards the known cache content and queue of a prefill engine
// that may have been restarted.
func (g *group) resetPrefill(id domain.UpstreamID) {
	for _, p := range g.prefill {
		if p.up.ID == id {
			g.prefixIndex.Forget(p.position)
			p.busyUntil, p.linkBusyUntil, p.recentWork = time.Time{}, time.Time{}, nil
		}
	}
}
