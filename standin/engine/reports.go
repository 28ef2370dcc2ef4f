package engine

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// maxEvents bounds the kept cache events; older ones are lost.
	maxEvents = 4096
	// maxSamples bounds the kept load samples.
	maxSamples = 512
)

// loadSample is the engine's load at one time.
type loadSample struct {
	at   time.Time
	load ports.Load
}

// sampleLoad records the present load for later reports. The caller holds the
// lock.
func (e *Engine) sampleLoad() {
	now := time.Now()
	load := ports.Load{
		Running:      e.usedSlots,
		FreePieces:   e.cfg.Upstream.Pieces - e.usedPiece,
		QueuedTokens: e.queuedTokens(),
	}
	n := len(e.reports)
	if n > 0 && e.reports[n-1].load == load {
		return
	}
	if n > 0 && e.reports[n-1].at.Equal(now) {
		e.reports[n-1].load = load
		return
	}
	e.reports = append(e.reports, loadSample{at: now, load: load})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.LoadLag {
		e.reports = e.reports[1:]
	}
	if len(e.reports) > maxSamples {
		e.reports = e.reports[len(e.reports)-maxSamples:]
	}
}

func (e *Engine) queuedTokens() int {
	sum := 0
	for _, job := range e.jobs {
		sum += job.kv.tokens
	}
	if e.active != nil {
		sum += e.active.kv.tokens - e.active.cached - e.active.computed(e.active.started)
	}
	return sum
}

// Load implements ports.Engine. The report is LoadLag old.
func (e *Engine) Load(ctx context.Context) (ports.Load, error) {
	if err := e.enter(ctx); err != nil {
		return ports.Load{}, err
	}
	defer e.mu.Unlock()
	then := time.Now().Add(-e.cfg.LoadLag)
	load := ports.Load{FreePieces: e.cfg.Upstream.Pieces}
	for _, sample := range e.reports {
		if sample.at.After(then) {
			break
		}
		load = sample.load
	}
	load.Age = e.cfg.LoadLag
	return load, nil
}

// eventLog keeps the cache events that were not lost.
type eventLog struct {
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event ports.CacheEvent
}

// add appends events; some of them are lost, which leaves gaps in the sequence.
func (l *eventLog) add(e *Engine, keys []domain.PieceKey, removed bool) {
	now := time.Now()
	for _, key := range keys {
		l.sequence++
		if e.rng.IntN(100) < e.cfg.EventLossPercent {
			continue
		}
		event := ports.CacheEvent{Sequence: l.sequence, Key: key, Removed: removed}
		l.events = append(l.events, timedEvent{at: now, event: event})
	}
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// CacheEvents implements ports.Engine. Events appear EventLag after they happened.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]ports.CacheEvent, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.cfg.EventLag)
	var out []ports.CacheEvent
	for _, ev := range e.events.events {
		if ev.event.Sequence > after && !ev.at.After(visible) {
			out = append(out, ev.event)
		}
	}
	return out, nil
}
