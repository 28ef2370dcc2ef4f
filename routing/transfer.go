package routing

import (
	"context"
	"errors"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// importRetry is the pause before a transfer is tried again at a decode
	// upstream whose place is not free yet.
	importRetry = 10 * time.Millisecond
	// leastTransferTime is the least time that a transfer is given. One that begins
	// shortly before the result expires may end after it, as the engine keeps a
	// result while it is transferred.
	leastTransferTime = 250 * time.Millisecond
	// maxTransferStalls is how often a transfer may stall before the prefill
	// result is given up.
	maxTransferStalls = 2
)

// transfer moves a prefill result to the decode upstream within the result's
// lifetime. A stalled transfer is tried once more.
func (f *flight) transfer(ctx context.Context, p place, result ports.PrefillResult, expiry time.Time) error {
	ctx, stop := context.WithDeadlineCause(ctx, expiry.Add(leastTransferTime), errResultExpired)
	defer stop()
	stalls := 0
	for {
		limit := time.Until(expiry)
		if stalls+1 < maxTransferStalls {
			limit /= 2
		}
		limit = max(limit, leastTransferTime)
		err := f.importOnce(ctx, p, result, limit)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return f.transferEnded(ctx, p)
		}
		kind, _ := engineErrorKind(err)
		switch kind {
		case ports.EngineFull:
			if !pause.For(ctx, importRetry) {
				return f.transferEnded(ctx, p)
			}
		case ports.EngineStalled:
			stalls++
			f.gate.count.stalls.Add(1)
			if stalls >= maxTransferStalls {
				return err
			}
		default:
			f.avoidUpstream(p.decode.ID, err)
			return err
		}
	}
}

// importOnce makes one transfer. It reports EngineStalled where the transfer
// does not end within limit.
func (f *flight) importOnce(ctx context.Context, p place, result ports.PrefillResult, limit time.Duration) error {
	tryCtx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := f.gate.cfg.Upstreams.Engine(p.decode).Import(tryCtx, ports.ImportRequest{
		ID:            f.attemptID(),
		Holder:        p.grant.Holder,
		Source:        p.prefill.ID,
		SourceAddress: p.prefill.Address,
		Handle:        result.Handle,
		Pieces:        p.grant.Pieces,
	})
	if err != nil && tryCtx.Err() != nil && ctx.Err() == nil {
		return &ports.EngineError{Kind: ports.EngineStalled, Upstream: p.decode.ID, Message: "transfer made no progress in time"}
	}
	return err
}

var errResultExpired = errors.New("prefill result expired")

// transferEnded returns the error of a transfer whose context ended.
func (f *flight) transferEnded(ctx context.Context, p place) error {
	if !errors.Is(context.Cause(ctx), errResultExpired) {
		return ctx.Err()
	}
	f.gate.count.expired.Add(1)
	return &ports.EngineError{Kind: ports.EngineExpired, Upstream: p.prefill.ID, Message: "prefill result expired before its transfer"}
}
