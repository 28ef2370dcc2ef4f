package routing

import (
	"context"
	"errors"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// confirm waits until a promised decode place is free. The keeper may give it on
// another decode upstream than it promised. It fails with EngineExpired where
// the prefill result expires first.
func (f *flight) confirm(ctx context.Context, p *place, expiry time.Time) error {
	ctx, stop := context.WithDeadlineCause(ctx, expiry, errResultExpired)
	defer stop()
	began := time.Now()
	for p.grant.DecodeIn > 0 {
		grant, err := f.askAgain(ctx, p, began)
		if ctx.Err() != nil {
			return f.transferEnded(ctx, *p)
		}
		if _, refused := domain.AsRefusal(err); refused {
			return err
		}
		if err != nil {
			if !pause.For(ctx, importRetry) {
				return f.transferEnded(ctx, *p)
			}
			continue
		}
		if err := f.rebind(p, grant); err != nil {
			return err
		}
		// Some keepers answer at once while the place is not free yet.
		if grant.DecodeIn > 0 && !pause.For(ctx, importRetry) {
			return f.transferEnded(ctx, *p)
		}
	}
	return nil
}

// askAgain calls the keeper for a request that has its grant.
func (f *flight) askAgain(ctx context.Context, p *place, began time.Time) (domain.Grant, error) {
	group, host, err := f.findKeeper()
	if err != nil {
		return domain.Grant{}, err
	}
	if group.ID != p.group.ID {
		return domain.Grant{}, errOtherGroup
	}
	return f.gate.cfg.Peers.Keeper(host).Acquire(ctx, group.ID, f.placeRequest(began))
}

var errOtherGroup = errors.New("another group was chosen; ask the one that granted")

// rebind takes over a grant that names another decode upstream. The prefill
// upstream stays, as it holds the result.
func (f *flight) rebind(p *place, grant domain.Grant) error {
	if grant.ID != p.grant.ID {
		return &ports.EngineError{Kind: ports.EngineExpired, Upstream: p.prefill.ID, Message: "the keeper lost the promise of a decode place"}
	}
	for _, up := range p.group.Upstreams {
		if up.ID == grant.Decode {
			p.decode = up
			p.grant = grant
			f.gate.held.Update(grant.ID, func(h heldGrant, ok bool) (heldGrant, bool) {
				h.grant = grant
				return h, ok
			})
			return nil
		}
	}
	return &ports.EngineError{Kind: ports.EngineUnknown, Upstream: grant.Decode, Message: "granted upstream is not in the pools table in force on this host"}
}
