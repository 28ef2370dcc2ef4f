package routing

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// attemptStride is the distance between the engine attempt numbers of two
	// attempts of a caller. The gate numbers its retries of one attempt in
	// between.
	attemptStride = 1000
	// maxRetries limits the retries of one request, in addition to its first
	// attempt.
	maxRetries = 12
	// initialRetryDelay is the delay before the first retry. It doubles with
	// each retry up to maxRetryDelay.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// modelRequest is the state of one model request in flight.
type modelRequest struct {
	gate        *Gate
	completion  *domain.Completion
	route       domain.Route
	fingerprint uint64
	// pieceKeys are the prefix cache keys of the prompt, computed once per
	// request.
	pieceKeys  []domain.PieceKey
	deliver    DeliverFunc
	acceptedAt time.Time
	cancel     context.CancelCauseFunc
	// done is closed when the request no longer delivers frames.
	done chan struct{}

	// retries counts the attempts after the first one. Supersede reads it
	// concurrently.
	retries atomic.Int32
	// avoid lists the upstreams on which an attempt failed.
	avoid []domain.UpstreamID
	// mayHaveRun is true once a prefill call has been started, as an engine
	// may then have worked on the request.
	mayHaveRun bool
	sequencer  sequencer
	// deliveredText is the output delivered so far. Another upstream continues
	// from it.
	deliveredText strings.Builder
	// complete is true once the last frame has been delivered.
	complete bool
	// callerDisconnected is true once the delivery of a frame has failed.
	callerDisconnected bool
}

// attemptNumber returns the engine attempt number of the current attempt.
func (r *modelRequest) attemptNumber() int {
	return r.completion.Attempt*attemptStride + int(r.retries.Load())
}

func (r *modelRequest) attemptID() domain.AttemptID {
	return domain.AttemptID{Caller: r.completion.Caller, Request: r.completion.Request, Attempt: r.attemptNumber()}
}

// run makes attempts until the complete response has been delivered or the
// request must end.
func (r *modelRequest) run(ctx context.Context) error {
	delay := initialRetryDelay
	for {
		err := r.runAttempt(ctx)
		if err == nil {
			r.gate.cfg.Quarantine.Clear(r.fingerprint)
			r.gate.retryBudget(r.route.Name).Success(r.route.RetryPercent)
			return nil
		}
		if final := r.finalError(ctx, err); final != nil {
			return final
		}
		r.retries.Add(1)
		r.gate.counters.retries.Add(1)
		if !pause.For(ctx, delay) {
			return r.contextRefusal(ctx)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// finalError returns the refusal that ends the request, or nil if another
// attempt should be made.
func (r *modelRequest) finalError(ctx context.Context, err error) error {
	if r.callerDisconnected || ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.WithRan(r.ran())
	}
	if refusal := r.gate.cfg.Quarantine.Check(r.fingerprint); refusal != nil {
		return refusal.WithRan(r.ran())
	}
	if int(r.retries.Load()) >= maxRetries {
		return r.upstreamsFailedRefusal(err)
	}
	// A response that has started is always continued, without regard to the
	// retry budget: the caller already has a part of it.
	if r.sequencer.lastDelivered() > 0 || r.route.Class == domain.ClassPatient {
		return nil
	}
	if !r.gate.retryBudget(r.route.Name).Take() {
		return r.upstreamsFailedRefusal(err)
	}
	return nil
}

func (r *modelRequest) upstreamsFailedRefusal(err error) error {
	return domain.Refuse(domain.RefusalUpstreamFailed, "upstreams failed: "+err.Error(),
		"retry later; the operator looks at the upstreams named here").
		WithRan(r.ran()).WithRetryAfter(time.Second)
}

// contextRefusal returns the refusal for a request whose context has ended.
func (r *modelRequest) contextRefusal(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSuperseded):
		return domain.Refuse(domain.RefusalSuperseded, "the caller sent this request again",
			"read the answer of the newer attempt").WithRan(r.ran())
	case errors.Is(cause, errDeadline):
		return domain.Refuse(domain.RefusalDeadline, "the route's timeout was reached",
			"ask for a shorter answer, or the operator raises the route's timeout").WithRan(r.ran())
	default:
		return domain.Refuse(domain.RefusalCanceled, "the caller went away",
			"send the request again if it is still wanted").WithRan(r.ran())
	}
}

// ran reports whether an engine worked on the request.
func (r *modelRequest) ran() domain.Ran {
	switch {
	case r.sequencer.lastDelivered() > r.completion.DeliveredTokens:
		return domain.RanYes
	case r.mayHaveRun || r.completion.Attempt > 1:
		// An earlier attempt of the caller may have run through another host.
		return domain.RanUnknown
	default:
		return domain.RanNo
	}
}

// runAttempt makes one attempt: it reserves a slot and runs all stages.
func (r *modelRequest) runAttempt(ctx context.Context) error {
	res, err := r.acquire(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.gate.trackGrant(res, cancel)
	err = r.runStages(ctx, &res)
	r.finishAttempt(res, err)
	return err
}

// reservation is a granted decode slot together with its group and upstreams.
type reservation struct {
	group   groups.Group
	grant   domain.Grant
	prefill domain.Upstream
	decode  domain.Upstream
}

// runStages runs prefill, transfer and decode on a reservation.
func (r *modelRequest) runStages(ctx context.Context, res *reservation) error {
	result, err := r.prefill(ctx, *res)
	if err != nil {
		return err
	}
	expiry := time.Now().Add(result.ExpiresIn)
	if err := r.awaitDecodeSlot(ctx, res, expiry); err != nil {
		return err
	}
	if err := r.transfer(ctx, *res, result, expiry); err != nil {
		return err
	}
	return r.decode(ctx, *res)
}

// prefill computes the KV cache of the prompt and of the output delivered so
// far.
func (r *modelRequest) prefill(ctx context.Context, res reservation) (ports.PrefillResult, error) {
	ctx, stop := context.WithTimeout(ctx, r.gate.timing.PrefillTimeout)
	defer stop()
	r.mayHaveRun = true
	result, err := r.gate.cfg.Upstreams.Engine(res.prefill).Prefill(ctx, ports.PrefillRequest{
		ID:              r.attemptID(),
		Holder:          r.gate.cfg.Membership.Self().ID,
		Model:           r.completion.Model,
		Prompt:          r.completion.Prompt,
		Delivered:       r.deliveredText.String(),
		DeliveredTokens: r.sequencer.lastDelivered(),
		MaxTokens:       r.completion.MaxTokens,
		Priority:        r.priority(),
	})
	if err != nil {
		r.avoidUpstream(res.prefill.ID, err)
	}
	return result, err
}

// Priorities of requests in engines. Continued responses have the highest
// priority, as their callers are already waiting between two tokens.
const (
	priorityPatient     = 0
	priorityInteractive = 1
	priorityContinued   = 2
)

func (r *modelRequest) priority() int {
	switch {
	case r.sequencer.lastDelivered() > 0:
		return priorityContinued
	case r.route.Class == domain.ClassInteractive:
		return priorityInteractive
	default:
		return priorityPatient
	}
}

// avoidUpstream excludes an unreachable upstream from later attempts.
func (r *modelRequest) avoidUpstream(id domain.UpstreamID, err error) {
	if kind, ok := engineErrorKind(err); ok && kind == ports.EngineUnreachable {
		r.avoid = append(r.avoid, id)
	}
}

func engineErrorKind(err error) (ports.EngineErrorKind, bool) {
	var e *ports.EngineError
	if errors.As(err, &e) {
		return e.Kind, true
	}
	return "", false
}
