package routing

import (
	"context"
	"errors"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// awaitDecodeSlot waits until a promised decode slot is free. The keeper may
// grant the slot on a decode upstream other than the promised one. If the
// prefill result expires first, the error is an *ports.EngineError of kind
// EngineExpired.
func (r *modelRequest) awaitDecodeSlot(ctx context.Context, res *reservation, expiry time.Time) error {
	ctx, stop := context.WithDeadlineCause(ctx, expiry, errResultExpired)
	defer stop()
	start := time.Now()
	for res.grant.DecodeFreeIn > 0 {
		grant, err := r.acquireAgain(ctx, res, start)
		if ctx.Err() != nil {
			return r.transferContextError(ctx, *res)
		}
		if _, refused := domain.AsRefusal(err); refused {
			return err
		}
		if err != nil {
			if !pause.For(ctx, importRetryDelay) {
				return r.transferContextError(ctx, *res)
			}
			continue
		}
		if err := r.applyGrant(res, grant); err != nil {
			return err
		}
		// A keeper may answer immediately although the slot is not free yet.
		if grant.DecodeFreeIn > 0 && !pause.For(ctx, importRetryDelay) {
			return r.transferContextError(ctx, *res)
		}
	}
	return nil
}

// acquireAgain asks the keeper about the promised slot of a request that
// already has a grant.
func (r *modelRequest) acquireAgain(ctx context.Context, res *reservation, start time.Time) (domain.Grant, error) {
	group, host, err := r.findKeeper()
	if err != nil {
		return domain.Grant{}, err
	}
	if group.ID != res.group.ID {
		return domain.Grant{}, errGroupMismatch
	}
	return r.gate.cfg.Peers.Keeper(host).Acquire(ctx, group.ID, r.slotRequest(start))
}

var errGroupMismatch = errors.New("the chosen group is not the one that granted the slot")

// applyGrant updates the reservation to a grant that may name another decode
// upstream. The prefill upstream does not change, as it holds the prefill
// result.
func (r *modelRequest) applyGrant(res *reservation, grant domain.Grant) error {
	if grant.ID != res.grant.ID {
		return &ports.EngineError{Kind: ports.EngineExpired, Upstream: res.prefill.ID, Message: "the keeper lost the promise of a decode place"}
	}
	for _, up := range res.group.Upstreams {
		if up.ID == grant.Decode {
			res.decode = up
			res.grant = grant
			r.gate.heldGrants.Update(grant.ID, func(h heldGrant, ok bool) (heldGrant, bool) {
				h.grant = grant
				return h, ok
			})
			return nil
		}
	}
	return &ports.EngineError{Kind: ports.EngineUnknownAttempt, Upstream: grant.Decode, Message: "granted upstream is not in the pools table in force on this host"}
}
