package routing

import (
	"context"
	"errors"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
	"greengagespoke/relay"
)

// cancelRetryDelay is the mean delay before a failed cancel call is retried.
const cancelRetryDelay = 200 * time.Millisecond

// heldGrant is a grant that the gate renews. cancel ends its attempt.
type heldGrant struct {
	group  groups.Group
	grant  domain.Grant
	cancel context.CancelCauseFunc
}

func (g *Gate) trackGrant(res reservation, cancel context.CancelCauseFunc) {
	g.heldGrants.Store(res.grant.ID, heldGrant{group: res.group, grant: res.grant, cancel: cancel})
}

// renewAll renews all held grants, with one call per group.
func (g *Gate) renewAll(ctx context.Context) {
	byGroup := make(map[domain.GroupID][]heldGrant)
	for _, h := range g.heldGrants.Values() {
		byGroup[h.group.ID] = append(byGroup[h.group.ID], h)
	}
	for _, held := range byGroup {
		g.runInBackground(func(context.Context) { g.renewGroup(ctx, held) })
	}
}

func (g *Gate) renewGroup(ctx context.Context, held []heldGrant) {
	ctx, stop := context.WithTimeout(ctx, g.timing.RenewInterval)
	defer stop()
	members := g.cfg.Membership.Members()
	host, ok := groups.Keeper(held[0].group, members)
	if !ok {
		return
	}
	grants := make([]domain.Grant, len(held))
	for i, h := range held {
		grants[i] = h.grant
	}
	lost, err := g.cfg.Peers.Keeper(host).Renew(ctx, held[0].group.ID, g.cfg.Membership.Self().ID, grants)
	if err != nil {
		return
	}
	for _, id := range lost {
		if h, ok := g.heldGrants.Load(id); ok {
			h.cancel(errGrantLost)
		}
	}
}

// finishAttempt releases the reservation of an attempt. If the response is not
// complete, the memory on the decode engine is freed before the grant is
// released. If the decode upstream crashed, the grant is also released at
// once.
func (r *modelRequest) finishAttempt(res reservation, err error) {
	g := r.gate
	g.heldGrants.Delete(res.grant.ID)
	release := domain.Release{Grant: res.grant, Reason: r.releaseReason(err), OutputTokens: r.sequencer.lastDelivered()}
	if release.Reason == domain.ReleaseDone {
		g.releaseInBackground(res, release)
		return
	}
	if release.Reason == domain.ReleaseCrashed {
		g.counters.crashes.Add(1)
		g.cfg.Quarantine.RecordCrash(res.decode.ID, []uint64{r.fingerprint})
		g.releaseGrant(g.baseCtx, res, release)
	}
	g.runInBackground(func(ctx context.Context) { g.cancelAttempt(ctx, res, res.prefill) })
	freed := make(chan struct{})
	g.runInBackground(func(ctx context.Context) {
		g.cancelAttempt(ctx, res, res.decode)
		g.releaseGrant(ctx, res, release)
		close(freed)
	})
	if release.Reason == domain.ReleaseFailed {
		r.awaitFreed(freed)
	}
}

// awaitFreed waits up to CancelTimeout for the first cancel call. Otherwise,
// the next attempt of the request could queue behind the slot that it still
// holds.
func (r *modelRequest) awaitFreed(freed <-chan struct{}) {
	timer := time.NewTimer(r.gate.timing.CancelTimeout)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

func (r *modelRequest) releaseReason(err error) domain.ReleaseReason {
	var crash *crashError
	switch {
	case err == nil:
		return domain.ReleaseDone
	case errors.As(err, &crash):
		return domain.ReleaseCrashed
	case r.callerDisconnected || errors.Is(err, context.Canceled):
		return domain.ReleaseCanceled
	default:
		return domain.ReleaseFailed
	}
}

// cancelAttempt cancels the attempt of a reservation at an upstream, through
// another host if this one cannot reach it. It retries until the upstream
// acknowledges, CancelRetryTimeout passes or the gate is closed.
func (g *Gate) cancelAttempt(ctx context.Context, res reservation, up domain.Upstream) {
	ctx, stop := context.WithTimeout(ctx, g.timing.CancelRetryTimeout)
	defer stop()
	attempt := relay.Attempt{ID: res.grant.Request, Pool: res.grant.Pool, Upstream: up}
	for {
		g.counters.cancels.Add(1)
		if g.canceler.Cancel(ctx, attempt) == nil {
			return
		}
		if !pause.For(ctx, g.jitter(cancelRetryDelay)) {
			return
		}
	}
}

// Cancel implements ports.GatePeer. It cancels an attempt at an upstream for a
// host that cannot reach the upstream.
func (g *Gate) Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error {
	row, _ := g.cfg.Tables.Pool(pool)
	i := slices.IndexFunc(row.Upstreams, func(up domain.Upstream) bool { return up.ID == upstream })
	if i < 0 {
		return &ports.EngineError{
			Kind: ports.EngineInvalid, Upstream: upstream,
			Message: "not in pool " + string(pool) + " on this host; ask a host with a newer table revision",
		}
	}
	ctx, stop := context.WithTimeout(ctx, g.timing.CancelTimeout)
	defer stop()
	g.counters.relayed.Add(1)
	return g.cfg.Upstreams.Engine(row.Upstreams[i]).Cancel(ctx, id)
}

// releaseInBackground releases a grant without delaying the response to the
// caller.
func (g *Gate) releaseInBackground(res reservation, release domain.Release) {
	g.runInBackground(func(ctx context.Context) { g.releaseGrant(ctx, res, release) })
}

// releaseGrant releases a grant at the keeper of its group. A failed release
// is not retried, as the grant then expires.
func (g *Gate) releaseGrant(ctx context.Context, res reservation, release domain.Release) {
	host, ok := groups.Keeper(res.group, g.cfg.Membership.Members())
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, g.timing.CancelTimeout)
	defer stop()
	_ = g.cfg.Peers.Keeper(host).Release(ctx, res.group.ID, []domain.Release{release})
}

// runInBackground runs a task in a goroutine. Drain waits for the task and
// Close cancels its context.
func (g *Gate) runInBackground(task func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		task(g.baseCtx)
	}()
}
