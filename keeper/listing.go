package keeper

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/relay"
)

const (
	// strayGraceDeadHolder is how long an attempt may run without a grant if its
	// holder is not alive, so that a new keeper can learn of existing grants first.
	// It is longer than the renewal interval of gates, and short enough that memory
	// is freed within 10 s if a gate and a keeper die together.
	strayGraceDeadHolder = 2500 * time.Millisecond
	// strayGraceLiveHolder is the same for a holder that is alive and should renew
	// its grants.
	strayGraceLiveHolder = 8 * time.Second
)

// requestListing asks an engine what it runs. The caller must hold the lock.
func (g *group) requestListing(u *upstreamState) {
	if u.listing {
		u.listingPending = true
		return
	}
	u.listing, u.listingPending = true, false
	engine := g.keeper.cfg.Upstreams.Engine(u.up)
	began := time.Now()
	g.keeper.tasks.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		defer cancel()
		running, err := engine.List(ctx)
		g.handleListing(u, began, running, err)
	})
}

// handleListing processes the answer of an engine to a listing.
func (g *group) handleListing(u *upstreamState, began time.Time, running []ports.Running, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	u.listing = false
	if g.closed {
		return
	}
	if u.listingPending {
		g.requestListing(u)
	}
	g.confirmCrash(u, began, running)
	if err != nil {
		g.recordFailedCall(u, err)
		g.dispatch(now)
		return
	}
	if u.listed && u.failedCalls >= maxFailedCalls {
		klog.InfoS("upstream back in rotation", "upstream", u.up.ID, "group", g.id)
	}
	u.failedCalls = 0
	u.listed = true
	g.reconcile(u, began, now, running)
	g.dispatch(now)
}

// recordFailedCall counts a failed call and takes the upstream out of rotation
// after maxFailedCalls in a row.
func (g *group) recordFailedCall(u *upstreamState, err error) {
	u.failedCalls++
	g.keeper.metrics.engineErrors.Add(1)
	if u.failedCalls == maxFailedCalls {
		g.keeper.metrics.takenOut.Add(1)
		klog.InfoS("upstream taken out of rotation until it answers", "upstream", u.up.ID, "group", g.id, "err", err)
		g.resetPrefill(u.up.ID)
	}
}

// reconcile compares what an engine runs with the grants. Attempts that no grant
// covers occupy slots until they end, and are canceled after a grace period.
func (g *group) reconcile(u *upstreamState, began, now time.Time, running []ports.Running) {
	strays := make(map[domain.AttemptID]stray)
	for _, r := range running {
		if gr := g.coveringGrant(r.ID, u.up.ID); gr != nil {
			g.updateProgress(gr, r, now)
			continue
		}
		if ended, ok := g.recentlyEnded[r.ID]; ok && !ended.Before(began) {
			continue
		}
		s, known := u.strays[r.ID]
		if !known {
			s.firstSeen = now
		}
		s.pieces, s.role, s.holder = r.Pieces, r.Role, r.Holder
		strays[r.ID] = s
	}
	u.setStrays(strays)
	g.cancelStrays(u, now)
}

// cancelStrays cancels the attempts without a grant whose grace period is over.
// The next listing shows whether they have ended.
func (g *group) cancelStrays(u *upstreamState, now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(u.strays), compareAttempts) {
		s := u.strays[id]
		if now.Sub(s.firstSeen) >= g.strayGrace(s.holder) {
			g.cancelStray(u.up, id)
		}
	}
}

// coveringGrant returns the grant under which an attempt runs on an upstream, or
// nil.
func (g *group) coveringGrant(id domain.AttemptID, on domain.UpstreamID) *grant {
	gr := g.revoking[id]
	if r, ok := g.requests[id.Key()]; ok && r.grant != nil {
		gr = r.grant
	}
	if gr == nil || gr.Request != id || (gr.Decode != on && gr.Prefill != on) {
		return nil
	}
	return gr
}

// updateProgress corrects the predicted end of a grant by its reported progress.
func (g *group) updateProgress(gr *grant, r ports.Running, now time.Time) {
	if r.Role == domain.RoleDecode && r.Emitted > 0 {
		gr.decodeStart = now.Add(-time.Duration(r.Emitted) * g.pace.tokenInterval())
	}
}

// strayGrace returns the grace period of an attempt without a grant.
func (g *group) strayGrace(holder domain.HostID) time.Duration {
	for _, m := range g.keeper.cfg.Membership.Members() {
		if m.ID == holder && m.State != domain.MemberDead {
			return strayGraceLiveHolder
		}
	}
	return strayGraceDeadHolder
}

// compareAttempts orders attempts, so that runs under virtual time are
// reproducible.
func compareAttempts(a, b domain.AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// cancelStray cancels an attempt that no grant covers.
func (g *group) cancelStray(up domain.Upstream, id domain.AttemptID) {
	g.keeper.metrics.canceledStrays.Add(1)
	g.keeper.tasks.spawn(func(ctx context.Context) {
		_ = g.keeper.cancelOnce(ctx, relay.Attempt{ID: id, Pool: g.pool, Upstream: up})
	})
}
