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
	// strayGraceGone is how long an attempt may run without a grant where its
	// holder is not alive, so that a new keeper learns of grants first.
	// It is longer than the renewal interval of gates and short enough that the
	// memory of a gate and a keeper that die together is freed within 10 s.
	strayGraceGone = 2500 * time.Millisecond
	// strayGraceAlive is the same where the holder is alive and should renew.
	strayGraceAlive = 8 * time.Second
)

// list asks an engine what it runs. The caller holds the lock.
func (g *group) list(u *upstreamState) {
	if u.listing {
		u.listAgain = true
		return
	}
	u.listing, u.listAgain = true, false
	engine := g.keeper.cfg.Upstreams.Engine(u.up)
	began := time.Now()
	g.keeper.tasks.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		defer cancel()
		running, err := engine.List(ctx)
		g.listed(u, began, running, err)
	})
}

// listed takes in the answer of an engine.
func (g *group) listed(u *upstreamState, began time.Time, running []ports.Running, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	u.listing = false
	if g.closed {
		return
	}
	if u.listAgain {
		g.list(u)
	}
	g.confirmCrash(u, began, running)
	if err != nil {
		g.callFailed(u, err)
		g.dispatch(now)
		return
	}
	if u.listed && u.failures >= failureBound {
		klog.InfoS("upstream answers again", "upstream", u.up.ID, "group", g.id)
	}
	u.failures = 0
	u.listed = true
	g.reconcile(u, began, now, running)
	g.dispatch(now)
}

// callFailed notes a failed call and takes the upstream out after a few.
func (g *group) callFailed(u *upstreamState, err error) {
	u.failures++
	g.keeper.metrics.engineErrors.Add(1)
	if u.failures == failureBound {
		g.keeper.metrics.tookOut.Add(1)
		klog.InfoS("upstream receives no grants until it answers", "upstream", u.up.ID, "group", g.id, "err", err)
		g.forgetPrefill(u.up.ID)
	}
}

// reconcile compares what an engine runs with the grants. Attempts that no grant
// covers use places until they are gone, and are canceled after a grace time.
func (g *group) reconcile(u *upstreamState, began, now time.Time, running []ports.Running) {
	strays := make(map[domain.AttemptID]stray)
	for _, r := range running {
		if gr := g.covering(r.ID, u.up.ID); gr != nil {
			g.observe(gr, r, now)
			continue
		}
		if ended, ok := g.ended[r.ID]; ok && !ended.Before(began) {
			continue
		}
		s, known := u.strays[r.ID]
		if !known {
			s.since = now
		}
		s.pieces, s.role, s.holder = r.Pieces, r.Role, r.Holder
		strays[r.ID] = s
	}
	u.setStrays(strays)
	g.cancelStrays(u, now)
}

// cancelStrays cancels the attempts without a grant whose grace time is over.
// The next listing shows whether they are gone.
func (g *group) cancelStrays(u *upstreamState, now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(u.strays), compareAttempts) {
		s := u.strays[id]
		if now.Sub(s.since) >= g.grace(s.holder) {
			g.cancelStray(u.up, id)
		}
	}
}

// covering returns the grant under which an attempt runs on an upstream.
func (g *group) covering(id domain.AttemptID, on domain.UpstreamID) *grant {
	gr := g.revoking[id]
	if r, ok := g.requests[id.Key()]; ok && r.grant != nil {
		gr = r.grant
	}
	if gr == nil || gr.Request != id || (gr.Decode != on && gr.Prefill != on) {
		return nil
	}
	return gr
}

// observe corrects the predicted end of a grant by its progress.
func (g *group) observe(gr *grant, r ports.Running, now time.Time) {
	if r.Role == domain.RoleDecode && r.Emitted > 0 {
		gr.decoding = now.Add(-time.Duration(r.Emitted) * g.pace.tokenInterval())
	}
}

// grace returns how long an attempt without a grant is left alone.
func (g *group) grace(holder domain.HostID) time.Duration {
	for _, m := range g.keeper.cfg.Membership.Members() {
		if m.ID == holder && m.State != domain.MemberDead {
			return strayGraceAlive
		}
	}
	return strayGraceGone
}

// compareAttempts orders attempts, so that runs under virtual time repeat.
func compareAttempts(a, b domain.AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// cancelStray cancels an attempt that nobody claims.
func (g *group) cancelStray(up domain.Upstream, id domain.AttemptID) {
	g.keeper.metrics.strays.Add(1)
	g.keeper.tasks.spawn(func(ctx context.Context) {
		_ = g.keeper.cancelOnce(ctx, relay.Attempt{ID: id, Pool: g.pool, Upstream: up})
	})
}
