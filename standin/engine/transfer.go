package engine

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// maxStallSpread bounds the extra time of a transfer after a stall.
const maxStallSpread = time.Millisecond

// Import implements ports.Engine. It takes a slot and memory, then transfers the
// result over the fabric's links.
func (e *Engine) Import(ctx context.Context, req ports.ImportRequest) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	a, flow, err := e.admit(ctx, req)
	e.mu.Unlock()
	if err != nil || a == nil {
		return err
	}
	kv, err := e.transfer(flow, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	a.abort()
	a.abort = nil
	if a.ended {
		return a.err
	}
	if err != nil {
		e.endAttempt(a, err)
		e.forget(a)
		e.sampleLoad()
		return err
	}
	a.kv = kv
	a.imported = true
	e.counts.Imports++
	return nil
}

// admit takes a slot and memory. It returns no attempt where the attempt was
// imported before. The caller holds the lock.
func (e *Engine) admit(ctx context.Context, req ports.ImportRequest) (*attempt, context.Context, error) {
	if err := e.accepts(domain.RoleDecode, ""); err != nil {
		return nil, nil, err
	}
	if a := e.attempts[req.ID]; a != nil {
		if a.imported && !a.ended {
			return nil, nil, nil
		}
		return nil, nil, e.errorf(ports.EngineInvalid, "attempt exists already; use a new attempt number")
	}
	if e.usedSlots >= e.cfg.Upstream.Slots || e.usedPiece+req.Pieces > e.cfg.Upstream.Pieces {
		e.counts.Full++
		return nil, nil, e.errorf(ports.EngineFull, "%d of %d slots and %d of %d pieces in use; use another upstream",
			e.usedSlots, e.cfg.Upstream.Slots, e.usedPiece, e.cfg.Upstream.Pieces)
	}
	flow, abort := context.WithCancel(ctx)
	a := &attempt{
		id:      req.ID,
		holder:  req.Holder,
		pieces:  req.Pieces,
		abort:   abort,
		streams: make(map[*Stream]struct{}),
	}
	e.attempts[req.ID] = a
	e.usedSlots++
	e.usedPiece += req.Pieces
	e.sampleLoad()
	return a, flow, nil
}

// transfer fetches a result. It fails with EngineStalled where ctx ends first.
func (e *Engine) transfer(ctx context.Context, req ports.ImportRequest) (kvCache, error) {
	source, ok := e.fabric.Engine(req.Source)
	if !ok {
		return e.fetch(ctx, req)
	}
	stalled := e.errorf(ports.EngineStalled, "the transfer from %s made no progress in time", req.Source)
	if !pause.For(ctx, e.fabric.stalledFor(req.Source, e.cfg.Upstream.ID, stallSpread(req.Handle))) {
		return kvCache{}, stalled
	}
	kv, err := source.peek(req.Handle)
	if err != nil {
		return kvCache{}, err
	}
	start, end := e.fabric.reserve(source.cfg.Upstream, e.cfg.Upstream, kv.bytes())
	if !pause.For(ctx, start) {
		return kvCache{}, stalled
	}
	life, err := source.pin(req.Handle)
	if err != nil {
		return kvCache{}, err
	}
	done := pause.For(ctx, end-start)
	lost := source.unpin(req.Handle, life, done)
	if !done {
		return kvCache{}, stalled
	}
	if lost {
		return kvCache{}, e.errorf(ports.EngineExpired, "%s lost the result during the transfer", req.Source)
	}
	return kv, nil
}

// stallSpread keeps transfers that a stall held up from going on at one instant.
func stallSpread(handle string) time.Duration {
	return time.Duration(xxhash.Sum64String(handle) % uint64(maxStallSpread))
}

func (e *Engine) peek(handle string) (kvCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.results[handle]
	if e.down || r == nil {
		return kvCache{}, e.errorf(ports.EngineExpired, "the prefill result is gone; prefill again")
	}
	return r.kv, nil
}

// pin keeps a result alive while it is transferred.
func (e *Engine) pin(handle string) (life int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.results[handle]
	if e.down || r == nil {
		e.counts.Expired++
		return 0, e.errorf(ports.EngineExpired, "the prefill result is gone; prefill again")
	}
	r.pinned++
	return e.life, nil
}

// unpin ends a transfer; a complete one frees the result. It returns whether the
// result was lost meanwhile.
func (e *Engine) unpin(handle string, life int, done bool) (lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.results[handle]
	if e.life != life || r == nil {
		return true
	}
	r.pinned--
	if done || !r.alive() {
		delete(e.results, handle)
	}
	return false
}
