package routing

import (
	"context"
	"errors"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// importRetryDelay is the delay before a transfer is retried while the
	// decode upstream has no free slot or memory yet.
	importRetryDelay = 10 * time.Millisecond
	// minTransferTimeout is the shortest timeout of a transfer. A transfer
	// that starts shortly before the prefill result expires may end after it,
	// as the engine keeps a result while it is transferred.
	minTransferTimeout = 250 * time.Millisecond
	// maxTransferStalls is the number of stalled transfers after which the
	// prefill result is abandoned.
	maxTransferStalls = 2
)

// transfer moves a prefill result to the decode upstream before the result
// expires. A stalled transfer is retried once.
func (r *modelRequest) transfer(ctx context.Context, res reservation, result ports.PrefillResult, expiry time.Time) error {
	ctx, stop := context.WithDeadlineCause(ctx, expiry.Add(minTransferTimeout), errResultExpired)
	defer stop()
	stalls := 0
	for {
		limit := time.Until(expiry)
		if stalls+1 < maxTransferStalls {
			limit /= 2
		}
		limit = max(limit, minTransferTimeout)
		err := r.importOnce(ctx, res, result, limit)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.transferContextError(ctx, res)
		}
		kind, _ := engineErrorKind(err)
		switch kind {
		case ports.EngineFull:
			if !pause.For(ctx, importRetryDelay) {
				return r.transferContextError(ctx, res)
			}
		case ports.EngineStalled:
			stalls++
			r.gate.counters.stalls.Add(1)
			if stalls >= maxTransferStalls {
				return err
			}
		default:
			r.avoidUpstream(res.decode.ID, err)
			return err
		}
	}
}

// importOnce makes one transfer. If the transfer does not end within limit,
// the error is an *ports.EngineError of kind EngineStalled.
func (r *modelRequest) importOnce(ctx context.Context, res reservation, result ports.PrefillResult, limit time.Duration) error {
	importCtx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := r.gate.cfg.Upstreams.Engine(res.decode).Import(importCtx, ports.ImportRequest{
		ID:            r.attemptID(),
		Holder:        res.grant.Holder,
		Source:        res.prefill.ID,
		SourceAddress: res.prefill.Address,
		Handle:        result.Handle,
		Pieces:        res.grant.Pieces,
	})
	if err != nil && importCtx.Err() != nil && ctx.Err() == nil {
		return &ports.EngineError{Kind: ports.EngineStalled, Upstream: res.decode.ID, Message: "transfer made no progress in time"}
	}
	return err
}

var errResultExpired = errors.New("prefill result expired")

// transferContextError returns the error of a transfer whose context has
// ended, and counts an expired prefill result.
func (r *modelRequest) transferContextError(ctx context.Context, res reservation) error {
	if !errors.Is(context.Cause(ctx), errResultExpired) {
		return ctx.Err()
	}
	r.gate.counters.expired.Add(1)
	return &ports.EngineError{Kind: ports.EngineExpired, Upstream: res.prefill.ID, Message: "prefill result expired before its transfer"}
}
