package keeper

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// listInterval is the time between listings of an engine, loadInterval that
	// between its load reports and cache events, hostListInterval that between
	// readings of the host list.
	listInterval     = 2 * time.Second
	loadInterval     = time.Second
	hostListInterval = time.Second
	// eventResync is how long no cache event arrives before all are asked for
	// again, as a restarted engine counts from the start.
	eventResync = 30 * time.Second
)

// watchHosts reads the host list and marks upstreams that are leaving.
func (k *Keeper) watchHosts(ctx context.Context) {
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
	for _, g := range k.held() {
		g.markLeaving(leaving)
	}
}

// markLeaving stops grants on upstreams that are leaving.
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

// listAll lists the engines of the group; with onlyUnknown set, only those that
// did not answer yet.
func (g *group) listAll(onlyUnknown bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	for _, u := range g.upstreams() {
		if !onlyUnknown || !u.listed || u.failures > 0 {
			g.list(u)
		}
	}
}

// pollPrefill reads the load reports and cache events of the prefill engines.
func (g *group) pollPrefill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range g.prefill {
		if p.polling || !p.usable(now) {
			continue
		}
		p.polling = true
		after := g.index.Sequence(p.position)
		resync := now.Sub(p.lastEvent) > eventResync
		if resync {
			after = 0
		}
		engine := g.keeper.cfg.Upstreams.Engine(p.up)
		g.keeper.tasks.spawn(func(ctx context.Context) { g.poll(ctx, p, engine, after, resync) })
	}
}

func (g *group) poll(ctx context.Context, p *prefillState, engine ports.Engine, after uint64, resync bool) {
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
		p.correct(now, load)
	}
	if eventErr == nil && g.prefillAt[p.position] == p {
		g.applyEvents(p, events, resync, now)
	}
}

// applyEvents takes in cache events. Numbers below those known show that the
// engine was restarted and its cache is empty.
func (g *group) applyEvents(p *prefillState, events []ports.CacheEvent, resync bool, now time.Time) {
	if resync {
		p.lastEvent = now
		last := uint64(0)
		if len(events) > 0 {
			last = events[len(events)-1].Sequence
		}
		if last < g.index.Sequence(p.position) {
			g.index.Forget(p.position)
		}
	}
	if len(events) == 0 {
		return
	}
	p.lastEvent = now
	g.keeper.metrics.cacheEvents.Add(int64(len(events)))
	g.index.Apply(p.position, events)
}

// forgetPrefill drops what is known of the cache and the queue of a prefill
// engine that may have been restarted.
func (g *group) forgetPrefill(id domain.UpstreamID) {
	for _, p := range g.prefill {
		if p.up.ID == id {
			g.index.Forget(p.position)
			p.busyUntil, p.linkUntil, p.log = time.Time{}, time.Time{}, nil
		}
	}
}
