package keeper

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"greengagespoke/domain"
	"greengagespoke/relay"
)

const (
	// supersedeTimeout is how long a newer attempt waits for the end of the older
	// one if neither the older one's gate nor its engines answer.
	supersedeTimeout = 3 * time.Second
	// gateCallTimeout bounds the call that notifies a gate of the end of its
	// attempt.
	gateCallTimeout = time.Second
	// engineCallTimeout bounds one call to an engine.
	engineCallTimeout = time.Second
	// cancelBackoffInitial and cancelBackoffMax are the shortest and the longest
	// time between cancels that were not acknowledged.
	cancelBackoffInitial = 100 * time.Millisecond
	cancelBackoffMax     = 2 * time.Second
	// cancelRetryTimeout is how long a cancel is retried. After that, the listings
	// of the engine show whether the attempt still runs.
	cancelRetryTimeout = 30 * time.Second
	// endedRecordTTL is how long ended attempts and revoked grants are kept.
	endedRecordTTL = 30 * time.Second
)

// revoke takes a grant back from its holder. The attempt is canceled on its
// engines, and only then is the slot free. If newer is not 0, the holder is
// notified of that newer attempt.
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
			g.keeper.notifyGate(ctx, gr.Holder, gr.Request.Key(), newer)
		}
		for _, up := range engines {
			g.keeper.cancelWithRetry(ctx, relay.Attempt{ID: gr.Request, Pool: g.pool, Upstream: up})
		}
		g.finishRevocation(gr)
	})
}

// enginesOf returns the upstreams on which a grant's attempt may run.
func (g *group) enginesOf(gr *grant) []domain.Upstream {
	var ups []domain.Upstream
	if d, ok := g.decodeByID[gr.Decode]; ok {
		ups = append(ups, d.up)
	}
	for _, p := range g.prefill {
		if p.up.ID == gr.Prefill {
			ups = append(ups, p.up)
		}
	}
	return ups
}

// finishRevocation ends a revoked grant, which frees its slot.
func (g *group) finishRevocation(gr *grant) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endGrant(gr, now)
	g.unblock(gr)
	g.dispatch(now)
}

// unblock allows the request that replaces a revoked grant to be served.
func (g *group) unblock(gr *grant) {
	if gr.replacement != nil {
		gr.replacement.blockingAttempts--
		gr.replacement = nil
	}
}

// blockOn makes a waiting request wait for the end of an older attempt, at most
// for supersedeTimeout.
func (g *group) blockOn(w *waiter, gr *grant) {
	g.unblock(gr)
	w.blockingAttempts++
	gr.replacement = w
	g.keeper.tasks.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(supersedeTimeout):
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

// notifyGate asks the holder of an older attempt to end it, so that it delivers
// nothing more to the caller.
func (k *Keeper) notifyGate(ctx context.Context, holder domain.HostID, key domain.RequestKey, newer int) {
	if k.cfg.GatePeers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	if _, err := k.cfg.GatePeers.GatePeer(holder).Supersede(ctx, key, newer); err != nil {
		k.metrics.gateErrors.Add(1)
	}
}

// cancelWithRetry cancels an attempt on an engine and retries until the engine
// acknowledges or cancelRetryTimeout has passed.
func (k *Keeper) cancelWithRetry(ctx context.Context, attempt relay.Attempt) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = cancelBackoffInitial
	wait.MaxInterval = cancelBackoffMax
	wait.RandomizationFactor = 0
	call := func() (struct{}, error) { return struct{}{}, k.cancelOnce(ctx, attempt) }
	_, _ = backoff.Retry(ctx, call, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(cancelRetryTimeout))
}

// cancelOnce cancels an attempt on an engine, through another host if needed.
func (k *Keeper) cancelOnce(ctx context.Context, attempt relay.Attempt) error {
	k.metrics.cancels.Add(1)
	return k.canceler.Cancel(ctx, attempt)
}
