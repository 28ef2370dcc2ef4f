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

// cancelPause is the pause between repeated cancels.
const cancelPause = 200 * time.Millisecond

// heldGrant is a grant that the gate renews.
type heldGrant struct {
	group  groups.Group
	grant  domain.Grant
	cancel context.CancelCauseFunc
}

func (g *Gate) hold(p place, cancel context.CancelCauseFunc) {
	g.held.Store(p.grant.ID, heldGrant{group: p.group, grant: p.grant, cancel: cancel})
}

// renewAll renews all held grants, one call for each group.
func (g *Gate) renewAll(ctx context.Context) {
	byGroup := make(map[domain.GroupID][]heldGrant)
	for _, h := range g.held.Values() {
		byGroup[h.group.ID] = append(byGroup[h.group.ID], h)
	}
	for _, held := range byGroup {
		g.background(func(context.Context) { g.renewGroup(ctx, held) })
	}
}

func (g *Gate) renewGroup(ctx context.Context, held []heldGrant) {
	ctx, stop := context.WithTimeout(ctx, g.timing.Renew)
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
		if h, ok := g.held.Load(id); ok {
			h.cancel(errGrantLost)
		}
	}
}

// finish gives a place back after an attempt. Where the attempt failed, the
// engines' memory is freed first.
func (f *flight) finish(p place, err error) {
	g := f.gate
	g.held.Delete(p.grant.ID)
	release := domain.Release{Grant: p.grant, Reason: f.releaseReason(err), OutputTokens: f.sequence.delivered()}
	if release.Reason == domain.ReleaseDone {
		g.releaseLater(p, release)
		return
	}
	if release.Reason == domain.ReleaseCrashed {
		g.count.crashes.Add(1)
		g.cfg.Quarantine.Crashed(p.decode.ID, []uint64{f.fingerprint})
		g.releaseNow(g.base, p, release)
	}
	g.background(func(ctx context.Context) { g.cancelAt(ctx, p, p.prefill) })
	freed := make(chan struct{})
	g.background(func(ctx context.Context) {
		g.cancelAt(ctx, p, p.decode)
		g.releaseNow(ctx, p, release)
		close(freed)
	})
	if release.Reason == domain.ReleaseFailed {
		f.awaitFreed(freed)
	}
}

// awaitFreed gives the first cancel a chance before the next attempt, so that
// the request does not wait behind its own place.
func (f *flight) awaitFreed(freed <-chan struct{}) {
	timer := time.NewTimer(f.gate.timing.Cancel)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

func (f *flight) releaseReason(err error) domain.ReleaseReason {
	var crash *crashError
	switch {
	case err == nil:
		return domain.ReleaseDone
	case errors.As(err, &crash):
		return domain.ReleaseCrashed
	case f.callerGone || errors.Is(err, context.Canceled):
		return domain.ReleaseCanceled
	default:
		return domain.ReleaseFailed
	}
}

// cancelAt cancels the attempt of a place at an upstream, through another host
// where needed, until the upstream acknowledges, the give-up time passes or the
// gate closes.
func (g *Gate) cancelAt(ctx context.Context, p place, up domain.Upstream) {
	ctx, stop := context.WithTimeout(ctx, g.timing.CancelGiveUp)
	defer stop()
	attempt := relay.Attempt{ID: p.grant.Request, Pool: p.grant.Pool, Upstream: up}
	for {
		g.count.cancels.Add(1)
		if g.cancels.Cancel(ctx, attempt) == nil {
			return
		}
		if !pause.For(ctx, g.jitter(cancelPause)) {
			return
		}
	}
}

// Cancel implements ports.GatePeer.
func (g *Gate) Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error {
	row, _ := g.cfg.Tables.Pool(pool)
	i := slices.IndexFunc(row.Upstreams, func(up domain.Upstream) bool { return up.ID == upstream })
	if i < 0 {
		return &ports.EngineError{
			Kind: ports.EngineInvalid, Upstream: upstream,
			Message: "not in pool " + string(pool) + " on this host; ask a host with a newer table revision",
		}
	}
	ctx, stop := context.WithTimeout(ctx, g.timing.Cancel)
	defer stop()
	g.count.relayed.Add(1)
	return g.cfg.Upstreams.Engine(row.Upstreams[i]).Cancel(ctx, id)
}

// releaseLater gives a grant back without making the caller wait.
func (g *Gate) releaseLater(p place, release domain.Release) {
	g.background(func(ctx context.Context) { g.releaseNow(ctx, p, release) })
}

// releaseNow gives a grant back to the group's keeper. A release that is lost
// is made up for by the expiry of the grant.
func (g *Gate) releaseNow(ctx context.Context, p place, release domain.Release) {
	host, ok := groups.Keeper(p.group, g.cfg.Membership.Members())
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, g.timing.Cancel)
	defer stop()
	_ = g.cfg.Peers.Keeper(host).Release(ctx, p.group.ID, []domain.Release{release})
}

// background runs f in a goroutine that Drain waits for and Close ends.
func (g *Gate) background(f func(ctx context.Context)) {
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		f(g.base)
	}()
}
