package engine

import (
	"context"
	"errors"
	"io"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Stream reads the frames of one attempt. It implements ports.FrameStream.
type Stream struct {
	engine  *Engine
	attempt *attempt
	// cursor is the index of the next frame to take from the attempt.
	cursor  int
	pending []delivery
	notify  chan struct{}
	closed  bool
	lastAt  time.Time
}

// delivery is a frame on its way to the reader.
type delivery struct {
	frame domain.Frame
	at    time.Time
}

var _ ports.FrameStream = (*Stream)(nil)

var errStreamClosed = errors.New("frame stream is closed")

func hashPrompt(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

func newStream(e *Engine, a *attempt, after int) *Stream {
	return &Stream{
		engine:  e,
		attempt: a,
		cursor:  max(0, min(after-a.kv.delivered, len(a.frames))),
		notify:  make(chan struct{}, 1),
	}
}

func (s *Stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// Next implements ports.FrameStream.
func (s *Stream) Next(ctx context.Context) (domain.Frame, error) {
	for {
		frame, wait, err := s.poll()
		if err != nil || wait == 0 {
			return frame, err
		}
		if err := s.waitFor(ctx, wait); err != nil {
			return domain.Frame{}, err
		}
	}
}

// EmittedAt returns when the last returned frame left the engine.
func (s *Stream) EmittedAt() time.Time {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.lastAt
}

// poll returns a due frame, or the time to wait: negative means until a wake-up.
func (s *Stream) poll() (domain.Frame, time.Duration, error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.closed {
		return domain.Frame{}, 0, errStreamClosed
	}
	s.take()
	if len(s.pending) > 0 {
		head := s.pending[0]
		wait := time.Until(head.at)
		if wait > 0 && s.attempt.err == nil {
			return domain.Frame{}, wait, nil
		}
		if wait <= 0 {
			s.pending = s.pending[1:]
			s.lastAt = head.at
			e.fabric.ledger.delivered(s.attempt.kv.handle)
			return head.frame, 0, nil
		}
	}
	if s.attempt.err != nil {
		return domain.Frame{}, 0, s.attempt.err
	}
	if s.attempt.ended && s.cursor == len(s.attempt.frames) {
		return domain.Frame{}, 0, io.EOF
	}
	return domain.Frame{}, -1, nil
}

// take moves new frames of the attempt to pending, with their scripted faults.
func (s *Stream) take() {
	for ; s.cursor < len(s.attempt.frames); s.cursor++ {
		f := s.attempt.frames[s.cursor]
		faults := s.engine.cfg.Frames
		at := f.at
		if s.chance(f.frame.Number, 1) < faults.LatePercent {
			at = at.Add(faults.Late)
		}
		if s.chance(f.frame.Number, 2) < faults.SwappedPercent {
			at = at.Add(s.engine.cfg.StepBase + s.engine.cfg.StepPerRunning*defaultSlots)
		}
		s.pending = append(s.pending, delivery{frame: f.frame, at: at})
		if s.chance(f.frame.Number, 3) < faults.DoubledPercent {
			s.pending = append(s.pending, delivery{frame: f.frame, at: at})
		}
	}
	sort.SliceStable(s.pending, func(i, j int) bool { return s.pending[i].at.Before(s.pending[j].at) })
}

// chance returns a number from 0 to 99 that depends on the attempt, the frame
// and the kind of fault only.
func (s *Stream) chance(number int, kind uint64) int {
	h := s.attempt.kv.promptHash ^ s.engine.cfg.Seed
	h = (h + uint64(number)*4 + kind) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return int((h >> 33) % 100)
}

func (s *Stream) waitFor(ctx context.Context, wait time.Duration) error {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-s.notify:
	case <-due:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Close implements ports.FrameStream. The attempt goes on for the resume grace
// time.
func (s *Stream) Close() error {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	s.wake()
	e.closeStream(s)
	return nil
}
