package keeper

import (
	"cmp"
	"slices"
	"time"

	"greengagespoke/domain"
)

// renew extends grants and returns those that are not allowed any more.
func (g *group) renew(holder domain.HostID, grants []domain.Grant) []domain.GrantID {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var lost []domain.GrantID
	for _, wanted := range grants {
		gr, ok := g.grants[wanted.ID]
		if ok && gr.Holder == holder {
			gr.expires = now.Add(grantTerm)
			continue
		}
		if !g.adoptGrant(holder, wanted, now) {
			lost = append(lost, wanted.ID)
		}
	}
	return lost
}

// adoptGrant takes over a grant that another keeper gave. It is lost where its
// upstream is gone or where a newer attempt is known.
func (g *group) adoptGrant(holder domain.HostID, wanted domain.Grant, now time.Time) bool {
	d, ok := g.byDecode[wanted.Decode]
	if !ok || g.closed {
		return false
	}
	if r, ok := g.requests[wanted.Request.Key()]; ok {
		attempt, _ := r.identity()
		if attempt >= wanted.Request.Attempt {
			return false
		}
		g.supersede(r)
	}
	wanted.Holder = holder
	gr := &grant{Grant: wanted, granted: now, expires: now.Add(grantTerm), decoding: now}
	d.take(gr)
	g.grants[gr.ID] = gr
	g.requests[wanted.Request.Key()] = &request{grant: gr}
	g.keeper.metrics.held.Add(1)
	return true
}

// release ends grants, learns from them and grants their places again.
func (g *group) release(releases []domain.Release) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range releases {
		gr, ok := g.grants[r.Grant.ID]
		if !ok {
			continue
		}
		g.learn(gr, r, now)
		g.end(gr)
		g.keeper.metrics.releases.Add(1)
	}
	g.dispatch(now)
}

// learn takes in the length and pace of a finished answer, and charges the
// caller for what it was longer or shorter than expected.
func (g *group) learn(gr *grant, r domain.Release, now time.Time) {
	if r.Reason != domain.ReleaseDone || r.OutputTokens <= 0 || gr.route == "" {
		return
	}
	g.route(gr.route).add(r.OutputTokens)
	g.pace.learn(now.Sub(gr.granted), now.Sub(gr.decoding), r.OutputTokens)
	if gr.ExpectedTokens > 0 {
		actual := gr.cost * float64(r.OutputTokens) / float64(gr.ExpectedTokens)
		g.queue.Charge(gr.Request.Caller, gr.class, gr.weight, actual-gr.cost)
	}
}

// end removes a grant and frees its place.
func (g *group) end(gr *grant) {
	if g.grants[gr.ID] != gr {
		return
	}
	delete(g.grants, gr.ID)
	key := gr.Request.Key()
	if r, ok := g.requests[key]; ok && r.grant == gr {
		delete(g.requests, key)
	}
	if d, ok := g.byDecode[gr.Decode]; ok {
		d.give(gr)
	}
	g.keeper.metrics.held.Add(-1)
}

// expire ends grants that were not renewed and drops waiting requests whose
// gate stopped calling.
func (g *group) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gr := range g.overdue(now) {
		g.keeper.metrics.expired.Add(1)
		g.end(gr)
	}
	for _, w := range g.abandoned(now) {
		g.keeper.metrics.dropped.Add(1)
		g.finish(w, domain.Grant{}, refuseWithdrawn())
	}
	g.dispatch(now)
}

// overdue returns the grants that were not renewed in time, sorted, so that
// runs under virtual time repeat.
func (g *group) overdue(now time.Time) []*grant {
	var out []*grant
	for _, gr := range g.grants {
		if now.After(gr.expires) {
			out = append(out, gr)
		}
	}
	slices.SortFunc(out, func(a, b *grant) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// abandoned returns the waiting requests whose gate stopped calling.
func (g *group) abandoned(now time.Time) []*waiter {
	var out []*waiter
	for _, r := range g.requests {
		w := r.waiter
		if w != nil && w.calls == 0 && now.Sub(w.lastCall) > lingerTime {
			out = append(out, w)
		}
	}
	return out
}
