package keeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagespoke/domain"
)

// renew extends grants and returns those that are no longer valid.
func (g *group) renew(holder domain.HostID, grants []domain.Grant) []domain.GrantID {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var lost []domain.GrantID
	for _, wanted := range grants {
		gr, ok := g.grants[wanted.ID]
		if ok && gr.Holder == holder && !gr.revoking {
			gr.expiresAt = now.Add(grantTerm)
			continue
		}
		if ok || !g.adoptGrant(holder, wanted, now) {
			lost = append(lost, wanted.ID)
		}
	}
	g.dispatch(now)
	return lost
}

// adoptGrant takes over a grant that another keeper gave. It fails if the grant
// was revoked, its decode upstream is unknown, or the same or a newer attempt is
// known.
func (g *group) adoptGrant(holder domain.HostID, wanted domain.Grant, now time.Time) bool {
	d, ok := g.decodeByID[wanted.Decode]
	if !ok || g.closed {
		return false
	}
	if _, revoked := g.recentlyRevoked[wanted.ID]; revoked {
		return false
	}
	if r, ok := g.requests[wanted.Request.Key()]; ok {
		attempt, _ := r.identity()
		if attempt >= wanted.Request.Attempt {
			return false
		}
		g.endOlderAttempt(r, wanted.Request.Attempt, holder)
	}
	wanted.Holder = holder
	gr := &grant{Grant: wanted, grantedAt: now, slotAssignedAt: now, expiresAt: now.Add(grantTerm), decodeStart: now, maxOutputTokens: wanted.ExpectedTokens}
	d.addGrant(gr)
	g.addSuspectGrants(gr, 1)
	g.grants[gr.ID] = gr
	g.requests[wanted.Request.Key()] = &request{grant: gr}
	g.keeper.metrics.adopted.Add(1)
	g.keeper.metrics.heldGrants.Add(1)
	return true
}

// release ends grants, updates the estimates from them and grants their slots
// again.
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
		g.recordUsage(gr, r, now)
		g.recordOutcome(gr, r.Reason, now)
		g.keeper.metrics.releases.Add(1)
		if !gr.revoking {
			g.endGrant(gr, now)
		}
	}
	g.dispatch(now)
}

// releaseUnknown handles the release of a grant that another keeper gave: its
// attempt no longer counts as a stray.
func (g *group) releaseUnknown(r domain.Release, now time.Time) {
	g.recentlyEnded[r.Grant.Request] = now
	if d, ok := g.decodeByID[r.Grant.Decode]; ok {
		d.dropStray(r.Grant.Request)
	}
}

// recordOutcome records on the upstreams of a grant how it ended. After a
// failure, the upstreams are asked at once whether they still answer. A promise
// that was not kept says nothing about them.
func (g *group) recordOutcome(gr *grant, reason domain.ReleaseReason, now time.Time) {
	if reason == domain.ReleaseCrashed {
		g.handleCrashReport(gr, now)
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
		g.recordFailure(gr, now)
	}
}

// recordUsage updates the estimates with the length and pace of a finished
// answer, and charges its caller for the difference from the expected length.
// Failed grants are not charged.
func (g *group) recordUsage(gr *grant, r domain.Release, now time.Time) {
	if gr.route == "" {
		return
	}
	if r.Reason == domain.ReleaseFailed || r.Reason == domain.ReleaseCrashed {
		g.queue.Charge(gr.Request.Caller, gr.class, gr.weight, -gr.cost)
	}
	if r.Reason != domain.ReleaseDone || r.OutputTokens <= 0 {
		return
	}
	g.lengthEstimator(gr.route).add(r.OutputTokens)
	g.pace.add(now.Sub(gr.grantedAt), now.Sub(gr.decodeStart), r.OutputTokens)
	if gr.ExpectedTokens > 0 {
		actual := gr.cost * float64(r.OutputTokens) / float64(gr.ExpectedTokens)
		g.queue.Charge(gr.Request.Caller, gr.class, gr.weight, actual-gr.cost)
	}
}

// endGrant removes a grant and frees its slot.
func (g *group) endGrant(gr *grant, now time.Time) {
	if g.grants[gr.ID] != gr {
		return
	}
	delete(g.grants, gr.ID)
	g.recentlyEnded[gr.Request] = now
	if gr.revoking {
		delete(g.revoking, gr.Request)
		g.recentlyRevoked[gr.ID] = now
	}
	key := gr.Request.Key()
	if r, ok := g.requests[key]; ok && r.grant == gr {
		delete(g.requests, key)
	}
	if d, ok := g.decodeByID[gr.Decode]; ok {
		d.removeGrant(gr)
	}
	g.addSuspectGrants(gr, -1)
	g.keeper.metrics.heldGrants.Add(-1)
}

// expire revokes grants that were not renewed, drops waiting requests whose gate
// no longer calls, and cancels strays whose grace period is over.
func (g *group) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gr := range g.expiredGrants(now) {
		g.keeper.metrics.expired.Add(1)
		g.revoke(gr, 0)
	}
	g.dropExpiredBackoffs(now)
	for _, w := range g.abandonedWaiters(now) {
		g.keeper.metrics.droppedWaiting.Add(1)
		g.resolve(w, domain.Grant{}, refuseWithdrawn())
	}
	for _, u := range g.upstreams() {
		g.cancelStrays(u, now)
	}
	g.dropOldRecords(now)
	g.dispatch(now)
}

// dropOldRecords removes records of ended attempts and revoked grants that are
// older than endedRecordTTL.
func (g *group) dropOldRecords(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > endedRecordTTL }
	maps.DeleteFunc(g.recentlyEnded, func(_ domain.AttemptID, at time.Time) bool { return old(at) })
	maps.DeleteFunc(g.recentlyRevoked, func(_ domain.GrantID, at time.Time) bool { return old(at) })
}

// expiredGrants returns the grants that were not renewed in time. They are
// sorted so that runs under virtual time are reproducible.
func (g *group) expiredGrants(now time.Time) []*grant {
	var out []*grant
	for _, gr := range g.grants {
		if now.After(gr.expiresAt) && !gr.revoking {
			out = append(out, gr)
		}
	}
	slices.SortFunc(out, func(a, b *grant) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// abandonedWaiters returns the waiting requests whose gate no longer calls.
func (g *group) abandonedWaiters(now time.Time) []*waiter {
	var out []*waiter
	for _, r := range g.requests {
		w := r.waiter
		if w != nil && w.activeCalls == 0 && now.Sub(w.lastCallEnd) > waiterTTL {
			out = append(out, w)
		}
	}
	return out
}
