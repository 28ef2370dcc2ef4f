package engine

import (
	"context"
	"sort"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// attempt is one imported request on a decode engine.
type attempt struct {
	id     domain.AttemptID
	holder domain.HostID
	pieces int
	kv     kvCache
	// imported says that the transfer is complete.
	imported bool
	// abort ends a transfer in progress.
	abort   context.CancelFunc
	started bool
	// ended attempts hold no slot or memory; their frames stay for resumes.
	ended   bool
	err     error
	frames  []emittedFrame
	streams map[*Stream]struct{}
	grace   *time.Timer
}

// emittedFrame is a frame with the time at which the engine produced it.
type emittedFrame struct {
	frame domain.Frame
	at    time.Time
}

func (a *attempt) emitted() int {
	return len(a.frames)
}

const hexDigits = "0123456789abcdef"

// tokenText is the text of one token. It depends on the prompt and the number
// only, so that an answer that goes on elsewhere is the same as an unbroken one.
func tokenText(promptHash uint64, number int) string {
	x := (promptHash + uint64(number)*0x9e3779b97f4a7c15) >> 52
	return string([]byte{hexDigits[x>>8&15], hexDigits[x>>4&15], hexDigits[x&15], ' '})
}

// Answer is the answer that every engine gives to a prompt.
type Answer struct {
	promptHash uint64
}

// AnswerTo returns the answer to a prompt.
func AnswerTo(prompt string) Answer {
	return Answer{promptHash: hashPrompt(prompt)}
}

// Token returns the text of token number n, from 1.
func (a Answer) Token(n int) string {
	return tokenText(a.promptHash, n)
}

// Decode implements ports.Engine.
func (e *Engine) Decode(ctx context.Context, id domain.AttemptID, after int) (ports.FrameStream, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil || !a.imported {
		return nil, e.errorf(ports.EngineUnknownAttempt, "the engine does not have the attempt; import it first")
	}
	if a.kv.poisoned && !a.started {
		e.crash()
		return nil, e.errorf(ports.EngineUnreachable, "connection reset by the engine")
	}
	if a.grace != nil {
		a.grace.Stop()
		a.grace = nil
	}
	s := newStream(e, a, after)
	a.streams[s] = struct{}{}
	if !a.started {
		a.started = true
		e.running = append(e.running, a)
		e.scheduleStep()
	}
	return s, nil
}

// scheduleStep starts the next decode step unless one is due already.
func (e *Engine) scheduleStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.after(e.stepTime(len(e.running)), e.step)
}

func (e *Engine) stepTime(running int) time.Duration {
	return e.scaled(e.cfg.StepBase + time.Duration(running)*e.cfg.StepPerRunning)
}

// step emits one token for each running attempt.
func (e *Engine) step() {
	e.stepping = false
	now := time.Now()
	still := e.running[:0]
	for _, a := range e.running {
		if a.ended {
			continue
		}
		e.emit(a, now)
		if !a.ended {
			still = append(still, a)
		}
	}
	clear(e.running[len(still):])
	e.running = still
	e.sampleLoad()
	e.scheduleStep()
}

func (e *Engine) emit(a *attempt, now time.Time) {
	if len(a.frames) == 0 {
		e.fabric.ledger.executed(a.id.Key())
	}
	number := a.kv.delivered + len(a.frames) + 1
	frame := domain.Frame{Number: number, Attempt: a.id.Attempt, Last: number >= a.kv.total}
	if number <= a.kv.total {
		frame.Text = tokenText(a.kv.promptHash, number)
	}
	a.frames = append(a.frames, emittedFrame{frame: frame, at: now})
	e.counts.FramesEmitted++
	if frame.Last {
		e.endAttempt(a, nil)
		e.after(e.cfg.ResumeGrace, func() { e.forget(a) })
		return
	}
	a.wake()
}

func (a *attempt) wake() {
	for s := range a.streams {
		s.wake()
	}
}

// endAttempt frees the attempt's slot and memory. A nil error means that it
// finished; its frames can still be read.
func (e *Engine) endAttempt(a *attempt, err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.err = err
	e.usedSlots--
	e.usedPiece -= a.pieces
	if a.abort != nil {
		a.abort()
	}
	if a.grace != nil {
		a.grace.Stop()
	}
	a.wake()
}

func (e *Engine) forget(a *attempt) {
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}

// closeStream starts the resume grace time when the last reader went.
func (e *Engine) closeStream(s *Stream) {
	a := s.attempt
	if _, open := a.streams[s]; !open {
		return
	}
	delete(a.streams, s)
	if len(a.streams) > 0 || a.ended {
		return
	}
	a.grace = e.after(e.cfg.ResumeGrace, func() {
		if len(a.streams) > 0 {
			return
		}
		e.endAttempt(a, e.errorf(ports.EngineCanceled, "nobody read the stream for %v", e.cfg.ResumeGrace))
		e.forget(a)
		e.sampleLoad()
	})
}

func sortRunning(list []ports.Running) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].ID, list[j].ID
		if a.Caller != b.Caller {
			return a.Caller < b.Caller
		}
		if a.Request != b.Request {
			return a.Request < b.Request
		}
		if a.Attempt != b.Attempt {
			return a.Attempt < b.Attempt
		}
		return list[i].Role < list[j].Role
	})
}
