package keeper

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"greengagespoke/domain"
	"greengagespoke/relay"
)

const (
	// supersedeBound is how long a newer attempt waits for the end of the older
	// one, where neither its gate nor its engines answer.
	supersedeBound = 3 * time.Second
	// gateCallTimeout bounds the call that tells a gate of the end of its attempt.
	gateCallTimeout = time.Second
	// engineCallTimeout bounds one call to an engine.
	engineCallTimeout = time.Second
	// cancelBackoff and cancelBackoffMax bound the time between cancels that
	// were not acknowledged.
	cancelBackoff    = 100 * time.Millisecond
	cancelBackoffMax = 2 * time.Second
	// cancelBound is how long a cancel is repeated. After that the listing of the
	// engine shows whether the attempt is still there.
	cancelBound = 30 * time.Second
	// endedTime is how long ended attempts and grants are remembered.
	endedTime = 30 * time.Second
)

// revoke takes a grant back from its holder: its attempt is canceled on its
// engines, and only then is the place free. The holder is told of the newer
// attempt, unless that is 0.
func (g *group) revoke(gr *grant, newer int) {
	if gr.revoking {
		return
	}
	gr.revoking = true
	key := gr.Request.Key()
	if r, ok := g.requests[key]; ok && r.grant == gr {
		delete(g.requests, key)
	}
	g.revoking[gr.Request] = gr
	engines := g.enginesOf(gr)
	g.keeper.tasks.spawn(func(ctx context.Context) {
		if newer > 0 {
			g.keeper.tellGate(ctx, gr.Holder, gr.Request.Key(), newer)
		}
		for _, up := range engines {
			g.keeper.cancelOn(ctx, relay.Attempt{ID: gr.Request, Pool: g.pool, Upstream: up})
		}
		g.revoked(gr)
	})
}

// enginesOf returns the upstreams on which a grant's attempt may run.
func (g *group) enginesOf(gr *grant) []domain.Upstream {
	var ups []domain.Upstream
	if d, ok := g.byDecode[gr.Decode]; ok {
		ups = append(ups, d.up)
	}
	for _, p := range g.prefill {
		if p.up.ID == gr.Prefill {
			ups = append(ups, p.up)
		}
	}
	return ups
}

// revoked frees the place of a revoked grant.
func (g *group) revoked(gr *grant) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(gr, now)
	g.unblock(gr)
	g.dispatch(now)
}

// unblock lets the request that replaces a revoked grant be served.
func (g *group) unblock(gr *grant) {
	if gr.replacement != nil {
		gr.replacement.blockers--
		gr.replacement = nil
	}
}

// block makes a waiting request wait for the end of an older attempt, at most for
// supersedeBound.
func (g *group) block(w *waiter, gr *grant) {
	g.unblock(gr)
	w.blockers++
	gr.replacement = w
	g.keeper.tasks.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(supersedeBound):
		}
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		if gr.replacement == w {
			g.unblock(gr)
			g.dispatch(now)
		}
	})
}

// tellGate asks the holder of an older attempt to end it, so that it delivers
// nothing more.
func (k *Keeper) tellGate(ctx context.Context, holder domain.HostID, key domain.RequestKey, newer int) {
	if k.cfg.GatePeers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	if _, err := k.cfg.GatePeers.GatePeer(holder).Supersede(ctx, key, newer); err != nil {
		k.metrics.gateErrors.Add(1)
	}
}

// cancelOn cancels an attempt on an engine and repeats it until the engine
// acknowledges.
func (k *Keeper) cancelOn(ctx context.Context, attempt relay.Attempt) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = cancelBackoff
	wait.MaxInterval = cancelBackoffMax
	wait.RandomizationFactor = 0
	call := func() (struct{}, error) { return struct{}{}, k.cancelOnce(ctx, attempt) }
	_, _ = backoff.Retry(ctx, call, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(cancelBound))
}

// cancelOnce cancels an attempt on an engine, through another host where needed.
func (k *Keeper) cancelOnce(ctx context.Context, attempt relay.Attempt) error {
	k.metrics.cancels.Add(1)
	return k.cancels.Cancel(ctx, attempt)
}
