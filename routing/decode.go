package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// maxResumes limits how often a stream is resumed without a new frame.
	// After that, the attempt on the upstream fails.
	maxResumes = 2
	// resumeDelay is the delay before a stream is resumed.
	resumeDelay = 20 * time.Millisecond
)

var (
	errFrameStall         = errors.New("decode stream is silent")
	errFrameGap           = errors.New("decode stream misses a frame")
	errCallerDisconnected = errors.New("caller disconnected")
)

// crashError reports that the decode upstream crashed while it ran the
// request.
type crashError struct {
	upstream domain.UpstreamID
	cause    error
}

func (e *crashError) Error() string {
	return fmt.Sprintf("decode upstream %s died: %v", e.upstream, e.cause)
}

func (e *crashError) Unwrap() error { return e.cause }

// decode delivers the response from the decode upstream. It resumes a broken
// stream after the last delivered frame.
func (r *modelRequest) decode(ctx context.Context, res reservation) error {
	engine := r.gate.cfg.Upstreams.Engine(res.decode)
	wasUnreachable := false
	for resumes := 0; ; resumes++ {
		deliveredBefore := r.sequencer.lastDelivered()
		err := r.readStream(ctx, engine)
		if err == nil || r.callerDisconnected || ctx.Err() != nil {
			return err
		}
		if r.sequencer.lastDelivered() > deliveredBefore {
			resumes = 0
			wasUnreachable = false
		}
		kind, _ := engineErrorKind(err)
		if kind == ports.EngineUnknownAttempt && wasUnreachable || kind == ports.EngineUnreachable && resumes >= maxResumes {
			r.avoid = append(r.avoid, res.decode.ID)
			return &crashError{upstream: res.decode.ID, cause: err}
		}
		if kind == ports.EngineUnknownAttempt || kind == ports.EngineCanceled {
			return err
		}
		if resumes >= maxResumes {
			r.avoid = append(r.avoid, res.decode.ID)
			return err
		}
		wasUnreachable = wasUnreachable || kind == ports.EngineUnreachable
		r.gate.counters.resumes.Add(1)
		if !pause.For(ctx, resumeDelay) {
			return ctx.Err()
		}
	}
}

// readStream delivers the frames of one decode stream until the response is
// complete or the stream breaks.
func (r *modelRequest) readStream(ctx context.Context, engine ports.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := engine.Decode(ctx, r.attemptID(), r.sequencer.lastDelivered())
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	r.sequencer.reset()
	watchdog := time.AfterFunc(r.gate.timing.FrameStallTimeout, func() { cancel(errFrameStall) })
	defer watchdog.Stop()
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return streamError(ctx, err)
		}
		hadGap := r.sequencer.hasGap()
		if err := r.deliverInOrder(frame); err != nil || r.complete {
			return err
		}
		r.resetWatchdog(watchdog, hadGap)
	}
}

// streamError returns the error for a stream that ended before the last frame.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errFrameStall) {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return errFrameGap
	}
	return err
}

// resetWatchdog restarts the timeout of a stream after a frame. While a frame
// is missing, later frames do not extend the wait for it.
func (r *modelRequest) resetWatchdog(watchdog *time.Timer, hadGap bool) {
	switch {
	case !r.sequencer.hasGap():
		watchdog.Reset(r.gate.timing.FrameStallTimeout)
	case !hadGap:
		watchdog.Reset(r.gate.timing.FrameGapTimeout)
	}
}

// deliverInOrder delivers a frame and the buffered frames that follow it. It
// buffers a frame that is not next in order.
func (r *modelRequest) deliverInOrder(frame domain.Frame) error {
	if !r.sequencer.accept(frame) {
		if !r.sequencer.buffer(frame) {
			return errFrameGap
		}
		return nil
	}
	for ok := true; ok; frame, ok = r.sequencer.pop() {
		if err := r.deliverFrame(frame); err != nil {
			return err
		}
	}
	return nil
}

func (r *modelRequest) deliverFrame(frame domain.Frame) error {
	if err := r.deliver(frame); err != nil {
		r.callerDisconnected = true
		return errCallerDisconnected
	}
	r.deliveredText.WriteString(frame.Text)
	if frame.Last {
		r.complete = true
	}
	return nil
}
