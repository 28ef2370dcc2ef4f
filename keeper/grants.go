package keeper

import (
	"cmp"
	"maps"
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
		if ok && gr.Holder == holder && !gr.revoking {
			gr.expires = now.Add(grantTerm)
			continue
		}
		if ok || !g.adoptGrant(holder, wanted, now) {
			lost = append(lost, wanted.ID)
		}
	}
	g.dispatch(now)
	return lost
}

// adoptGrant takes over a grant that another keeper gave. It is lost where it
// was revoked, where its upstream is gone or where another attempt is known.
func (g *group) adoptGrant(holder domain.HostID, wanted domain.Grant, now time.Time) bool {
	d, ok := g.byDecode[wanted.Decode]
	if !ok || g.closed {
		return false
	}
	if _, revoked := g.lost[wanted.ID]; revoked {
		return false
	}
	if r, ok := g.requests[wanted.Request.Key()]; ok {
		attempt, _ := r.identity()
		if attempt >= wanted.Request.Attempt {
			return false
		}
		g.endOlder(r, wanted.Request.Attempt, holder)
	}
	wanted.Holder = holder
	gr := &grant{Grant: wanted, granted: now, placed: now, expires: now.Add(grantTerm), decoding: now, limit: wanted.ExpectedTokens}
	d.take(gr)
	g.countSuspect(gr, 1)
	g.grants[gr.ID] = gr
	g.requests[wanted.Request.Key()] = &request{grant: gr}
	g.keeper.metrics.adopted.Add(1)
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
			g.releaseUnknown(r, now)
			continue
		}
		g.learn(gr, r, now)
		g.judge(gr, r.Reason, now)
		g.keeper.metrics.releases.Add(1)
		if !gr.revoking {
			g.end(gr, now)
		}
	}
	g.dispatch(now)
}

// releaseUnknown forgets the listed attempt of a grant that another keeper gave.
func (g *group) releaseUnknown(r domain.Release, now time.Time) {
	g.ended[r.Grant.Request] = now
	if d, ok := g.byDecode[r.Grant.Decode]; ok {
		d.dropStray(r.Grant.Request)
	}
}

// judge notes how a grant ended on its upstreams. After a failure they are asked
// at once whether they still answer. A promise that was not kept says nothing
// about them.
func (g *group) judge(gr *grant, reason domain.ReleaseReason, now time.Time) {
	if reason == domain.ReleaseCrashed {
		g.crashReported(gr, now)
		return
	}
	if gr.promised {
		return
	}
	switch reason {
	case domain.ReleaseDone:
		g.releases.add(now)
		for _, u := range g.upstreams() {
			if u.up.ID == gr.Decode || u.up.ID == gr.Prefill {
				u.failedGrants = 0
			}
		}
	case domain.ReleaseFailed:
		g.judgeFailure(gr, now)
	}
}

// learn takes in the length and pace of a finished answer, and charges the
// caller for what it was longer or shorter than expected. Failed grants are not
// charged.
func (g *group) learn(gr *grant, r domain.Release, now time.Time) {
	if gr.route == "" {
		return
	}
	if r.Reason == domain.ReleaseFailed || r.Reason == domain.ReleaseCrashed {
		g.queue.Charge(gr.Request.Caller, gr.class, gr.weight, -gr.cost)
	}
	if r.Reason != domain.ReleaseDone || r.OutputTokens <= 0 {
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
func (g *group) end(gr *grant, now time.Time) {
	if g.grants[gr.ID] != gr {
		return
	}
	delete(g.grants, gr.ID)
	g.ended[gr.Request] = now
	if gr.revoking {
		delete(g.revoking, gr.Request)
		g.lost[gr.ID] = now
	}
	key := gr.Request.Key()
	if r, ok := g.requests[key]; ok && r.grant == gr {
		delete(g.requests, key)
	}
	if d, ok := g.byDecode[gr.Decode]; ok {
		d.give(gr)
	}
	g.countSuspect(gr, -1)
	g.keeper.metrics.held.Add(-1)
}

// expire ends grants that were not renewed and drops waiting requests whose
// gate stopped calling.
func (g *group) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gr := range g.overdue(now) {
		g.keeper.metrics.expired.Add(1)
		g.revoke(gr, 0)
	}
	g.forgetPairs(now)
	for _, w := range g.abandoned(now) {
		g.keeper.metrics.dropped.Add(1)
		g.finish(w, domain.Grant{}, refuseWithdrawn())
	}
	for _, u := range g.upstreams() {
		g.cancelStrays(u, now)
	}
	g.forgetEnded(now)
	g.dispatch(now)
}

// forgetEnded drops old records of ended attempts and revoked grants.
func (g *group) forgetEnded(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > endedTime }
	maps.DeleteFunc(g.ended, func(_ domain.AttemptID, at time.Time) bool { return old(at) })
	maps.DeleteFunc(g.lost, func(_ domain.GrantID, at time.Time) bool { return old(at) })
}

// overdue returns the grants that were not renewed in time, sorted, so that
// runs under virtual time repeat.
func (g *group) overdue(now time.Time) []*grant {
	var out []*grant
	for _, gr := range g.grants {
		if now.After(gr.expires) && !gr.revoking {
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
