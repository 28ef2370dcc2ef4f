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
	// maxResumes is how often a stream is resumed without a new frame before
	// the upstream is given up.
	maxResumes = 2
	// resumePause is the pause before a stream is resumed.
	resumePause = 20 * time.Millisecond
)

var (
	errFrameStall = errors.New("decode stream is silent")
	errFrameGap   = errors.New("decode stream misses a frame")
	errCallerGone = errors.New("caller does not take frames")
)

// crashError says that the decode upstream died while it ran the request.
type crashError struct {
	upstream domain.UpstreamID
	cause    error
}

func (e *crashError) Error() string {
	return fmt.Sprintf("decode upstream %s died: %v", e.upstream, e.cause)
}

func (e *crashError) Unwrap() error { return e.cause }

// decode delivers the answer from the decode upstream. A broken stream is
// resumed from the last delivered frame.
func (f *flight) decode(ctx context.Context, p place) error {
	engine := f.gate.cfg.Upstreams.Engine(p.decode)
	broken := false
	for resumes := 0; ; resumes++ {
		before := f.sequence.delivered()
		err := f.stream(ctx, engine)
		if err == nil || f.callerGone || ctx.Err() != nil {
			return err
		}
		if f.sequence.delivered() > before {
			resumes = 0
			broken = false
		}
		kind, _ := engineErrorKind(err)
		if kind == ports.EngineUnknown && broken || kind == ports.EngineUnreachable && resumes >= maxResumes {
			f.avoid = append(f.avoid, p.decode.ID)
			return &crashError{upstream: p.decode.ID, cause: err}
		}
		if kind == ports.EngineUnknown || kind == ports.EngineCanceled {
			return err
		}
		if resumes >= maxResumes {
			f.avoid = append(f.avoid, p.decode.ID)
			return err
		}
		broken = broken || kind == ports.EngineUnreachable
		f.gate.count.resumes.Add(1)
		if !pause.For(ctx, resumePause) {
			return ctx.Err()
		}
	}
}

// stream reads one decode stream until the answer is whole or the stream breaks.
func (f *flight) stream(ctx context.Context, engine ports.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := engine.Decode(ctx, f.attemptID(), f.sequence.delivered())
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	f.sequence.reset()
	watchdog := time.AfterFunc(f.gate.timing.FrameStall, func() { cancel(errFrameStall) })
	defer watchdog.Stop()
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return streamError(ctx, err)
		}
		hadGap := f.sequence.gap()
		if err := f.take(frame); err != nil || f.whole {
			return err
		}
		f.rearm(watchdog, hadGap)
	}
}

// streamError names the reason for which a stream ended early.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errFrameStall) {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return errFrameGap
	}
	return err
}

// rearm sets the watchdog of a stream for the next frame. While a frame is
// missing, later frames do not extend the wait for it.
func (f *flight) rearm(watchdog *time.Timer, hadGap bool) {
	switch {
	case !f.sequence.gap():
		watchdog.Reset(f.gate.timing.FrameStall)
	case !hadGap:
		watchdog.Reset(f.gate.timing.FrameGap)
	}
}

// take delivers a frame and those that waited for it, in order.
func (f *flight) take(frame domain.Frame) error {
	if !f.sequence.accept(frame) {
		if !f.sequence.hold(frame) {
			return errFrameGap
		}
		return nil
	}
	for ok := true; ok; frame, ok = f.sequence.pop() {
		if err := f.deliverOne(frame); err != nil {
			return err
		}
	}
	return nil
}

func (f *flight) deliverOne(frame domain.Frame) error {
	if err := f.deliver(frame); err != nil {
		f.callerGone = true
		return errCallerGone
	}
	f.text.WriteString(frame.Text)
	if frame.Last {
		f.whole = true
	}
	return nil
}
