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
	// attemptStride separates the attempts of a caller, so that the retries of
	// one attempt have numbers between it and the next.
	attemptStride = 1000
	// maxRetries bounds the attempts that a gate makes at one request.
	maxRetries = 12
	// retryPause is the pause before the second attempt; it doubles up to
	// maxRetryPause.
	retryPause    = 20 * time.Millisecond
	maxRetryPause = time.Second
)

// flight is one model request in progress at its gate.
type flight struct {
	gate        *Gate
	c           *domain.Completion
	route       domain.Route
	fingerprint uint64
	// pieceKeys are the keys of the prompt, worked out once.
	pieceKeys []domain.PieceKey
	deliver   DeliverFunc
	accepted  time.Time
	cancel    context.CancelCauseFunc
	// ended is closed when the flight no longer delivers.
	ended chan struct{}

	// retries counts the attempts after the first.
	retries atomic.Int32
	// avoid lists upstreams on which an attempt failed.
	avoid []domain.UpstreamID
	// started says that an engine may have begun to work on the request.
	started  bool
	sequence sequencer
	// text is the output delivered so far; another upstream continues from it.
	text strings.Builder
	// whole says that the last frame was delivered.
	whole bool
	// callerGone says that the caller did not take a frame.
	callerGone bool
}

// attemptNumber returns the engine attempt number of the current try.
func (f *flight) attemptNumber() int {
	return f.c.Attempt*attemptStride + int(f.retries.Load())
}

func (f *flight) attemptID() domain.AttemptID {
	return domain.AttemptID{Caller: f.c.Caller, Request: f.c.Request, Attempt: f.attemptNumber()}
}

// run makes attempts until the answer is whole or the request must end.
func (f *flight) run(ctx context.Context) error {
	delay := retryPause
	for {
		err := f.attempt(ctx)
		if err == nil {
			f.gate.cfg.Quarantine.Finished(f.fingerprint)
			f.gate.budget(f.route.Name).Success(f.route.RetryPercent)
			return nil
		}
		if final := f.finalError(ctx, err); final != nil {
			return final
		}
		f.retries.Add(1)
		f.gate.count.retries.Add(1)
		if !pause.For(ctx, delay) {
			return f.endedEarly(ctx)
		}
		delay = min(2*delay, maxRetryPause)
	}
}

// finalError returns the refusal that ends the request, or nil where another
// attempt should be made.
func (f *flight) finalError(ctx context.Context, err error) error {
	if f.callerGone || ctx.Err() != nil {
		return f.endedEarly(ctx)
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.WithRan(f.ran())
	}
	if refusal := f.gate.cfg.Quarantine.Check(f.fingerprint); refusal != nil {
		return refusal.WithRan(f.ran())
	}
	if int(f.retries.Load()) >= maxRetries {
		return f.failed(err)
	}
	// An answer that has begun is always continued: the caller is owed the rest.
	if f.sequence.delivered() > 0 || f.route.Class == domain.ClassPatient {
		return nil
	}
	if !f.gate.budget(f.route.Name).Take() {
		return f.failed(err)
	}
	return nil
}

func (f *flight) failed(err error) error {
	return domain.Refuse(domain.RefusalUpstreamFailed, "upstreams failed: "+err.Error(),
		"retry later; the operator looks at the upstreams named here").
		WithRan(f.ran()).After(time.Second)
}

// endedEarly returns the refusal for a request whose context ended.
func (f *flight) endedEarly(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSuperseded):
		return domain.Refuse(domain.RefusalSuperseded, "the caller sent this request again",
			"read the answer of the newer attempt").WithRan(f.ran())
	case errors.Is(cause, errDeadline):
		return domain.Refuse(domain.RefusalDeadline, "the route's timeout was reached",
			"ask for a shorter answer, or the operator raises the route's timeout").WithRan(f.ran())
	default:
		return domain.Refuse(domain.RefusalCanceled, "the caller went away",
			"send the request again if it is still wanted").WithRan(f.ran())
	}
}

// ran says whether an engine worked on the request.
func (f *flight) ran() domain.Ran {
	switch {
	case f.sequence.delivered() > f.c.DeliveredTokens:
		return domain.RanYes
	case f.started || f.c.Attempt > 1:
		// An earlier send may have run elsewhere.
		return domain.RanUnknown
	default:
		return domain.RanNo
	}
}

// attempt makes one try: place, prefill, transfer and decode.
func (f *flight) attempt(ctx context.Context) error {
	place, err := f.acquire(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.gate.hold(place, cancel)
	err = f.serve(ctx, &place)
	f.finish(place, err)
	return err
}

// place is a granted decode place with the upstreams that belong to it.
type place struct {
	group   groups.Group
	grant   domain.Grant
	prefill domain.Upstream
	decode  domain.Upstream
}

// serve runs prefill, transfer and decode on a granted place.
func (f *flight) serve(ctx context.Context, p *place) error {
	result, err := f.prefill(ctx, *p)
	if err != nil {
		return err
	}
	expiry := time.Now().Add(result.ExpiresIn)
	if err := f.confirm(ctx, p, expiry); err != nil {
		return err
	}
	if err := f.transfer(ctx, *p, result, expiry); err != nil {
		return err
	}
	return f.decode(ctx, *p)
}

// prefill computes the KV cache of the prompt and of what was delivered.
func (f *flight) prefill(ctx context.Context, p place) (ports.PrefillResult, error) {
	ctx, stop := context.WithTimeout(ctx, f.gate.timing.Prefill)
	defer stop()
	f.started = true
	result, err := f.gate.cfg.Upstreams.Engine(p.prefill).Prefill(ctx, ports.PrefillRequest{
		ID:              f.attemptID(),
		Holder:          f.gate.cfg.Membership.Self().ID,
		Model:           f.c.Model,
		Prompt:          f.c.Prompt,
		Delivered:       f.text.String(),
		DeliveredTokens: f.sequence.delivered(),
		MaxTokens:       f.c.MaxTokens,
		Priority:        f.priority(),
	})
	if err != nil {
		f.avoidUpstream(p.prefill.ID, err)
	}
	return result, err
}

// Priorities of work in engines. Continued answers go first, as their caller
// already waits between two tokens.
const (
	priorityPatient     = 0
	priorityInteractive = 1
	priorityContinued   = 2
)

func (f *flight) priority() int {
	switch {
	case f.sequence.delivered() > 0:
		return priorityContinued
	case f.route.Class == domain.ClassInteractive:
		return priorityInteractive
	default:
		return priorityPatient
	}
}

// avoidUpstream keeps later attempts away from an upstream that failed.
func (f *flight) avoidUpstream(id domain.UpstreamID, err error) {
	if kind, ok := engineErrorKind(err); ok && kind == ports.EngineUnreachable {
		f.avoid = append(f.avoid, id)
	}
}

func engineErrorKind(err error) (ports.EngineErrorKind, bool) {
	var e *ports.EngineError
	if errors.As(err, &e) {
		return e.Kind, true
	}
	return "", false
}
