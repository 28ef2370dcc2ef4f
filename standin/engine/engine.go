package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// Engine is one in-memory model engine. It implements ports.Engine.
type Engine struct {
	cfg    Config
	fabric *Fabric

	mu sync.Mutex
	// life counts restarts; timers of an earlier life do nothing.
	life    int
	down    bool
	paused  chan struct{}
	slow    float64
	rng     *rand.Rand
	serving ports.Order
	fence   int64
	loading *loading
	orders  []ReceivedOrder

	jobs      jobQueue
	active    *prefillJob
	byAttempt map[domain.AttemptID]*prefillJob
	results   map[string]*result
	handles   int
	cache     *prefixCache
	events    eventLog

	attempts  map[domain.AttemptID]*attempt
	usedSlots int
	usedPiece int
	running   []*attempt
	stepping  bool

	reports []loadSample
	counts  Counts
}

// Counts are what an engine counted since its creation.
type Counts struct {
	// PrefillTokens is the number of prompt tokens computed, without cached ones.
	PrefillTokens int
	Prefills      int
	Imports       int
	FramesEmitted int
	Crashes       int
	Cancels       int
	Full          int
	Expired       int
}

var _ ports.Engine = (*Engine)(nil)

// New returns a running engine and registers it with its fabric.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		fabric:  cfg.Fabric,
		slow:    1,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		serving: ports.Order{Model: cfg.Model, Role: cfg.Upstream.Role},
	}
	e.clear()
	e.fabric.register(e)
	return e
}

// clear empties the engine's memory. The caller holds the lock.
func (e *Engine) clear() {
	e.jobs = nil
	e.active = nil
	e.byAttempt = make(map[domain.AttemptID]*prefillJob)
	e.results = make(map[string]*result)
	e.cache = newPrefixCache(e.cfg.CachePieces)
	e.attempts = make(map[domain.AttemptID]*attempt)
	e.usedSlots = 0
	e.usedPiece = 0
	e.running = nil
	e.stepping = false
	e.reports = nil
}

// Upstream returns the engine's description with the defaults filled in.
func (e *Engine) Upstream() domain.Upstream {
	return e.cfg.Upstream
}

// Close stops the engine for good. Open calls and streams fail.
func (e *Engine) Close() {
	e.Kill()
}

// enter waits while the engine is paused and fails while it is down. On success
// the lock is held.
func (e *Engine) enter(ctx context.Context) error {
	for {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return e.errorf(ports.EngineUnreachable, "the engine is down; use another upstream")
		}
		paused := e.paused
		if paused == nil {
			return nil
		}
		e.mu.Unlock()
		select {
		case <-paused:
		case <-ctx.Done():
			return e.errorf(ports.EngineUnreachable, "no answer in time: %v", ctx.Err())
		}
	}
}

func (e *Engine) errorf(kind ports.EngineErrorKind, format string, args ...any) error {
	return &ports.EngineError{
		Kind:     kind,
		Upstream: e.cfg.Upstream.ID,
		Message:  fmt.Sprintf(format, args...),
	}
}

// after runs f under the lock when d has passed, unless the engine restarted.
// While the engine is paused, f waits. The caller holds the lock.
func (e *Engine) after(d time.Duration, f func()) *time.Timer {
	life := e.life
	return pause.AfterFunc(d, func() {
		e.mu.Lock()
		for e.paused != nil && e.life == life {
			paused := e.paused
			e.mu.Unlock()
			<-paused
			e.mu.Lock()
		}
		defer e.mu.Unlock()
		if e.life == life {
			f()
		}
	})
}

// scaled applies the slow factor to a duration.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.slow)
}

// Cancel implements ports.Engine.
func (e *Engine) Cancel(ctx context.Context, id domain.AttemptID) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	defer e.mu.Unlock()
	e.counts.Cancels++
	e.cancelPrefill(id)
	if a := e.attempts[id]; a != nil {
		e.endAttempt(a, e.errorf(ports.EngineCanceled, "the attempt was canceled"))
		delete(e.attempts, id)
	}
	e.sampleLoad()
	return nil
}

// List implements ports.Engine.
func (e *Engine) List(ctx context.Context) ([]ports.Running, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	return e.held(), nil
}

// held returns what holds memory, sorted. The caller holds the lock.
func (e *Engine) held() []ports.Running {
	var out []ports.Running
	for _, r := range e.results {
		out = append(out, ports.Running{
			ID: r.kv.id, Holder: r.holder, Pieces: r.pieces, Role: domain.RolePrefill,
		})
	}
	for _, a := range e.attempts {
		if a.ended {
			continue
		}
		out = append(out, ports.Running{
			ID: a.id, Holder: a.holder, Pieces: a.pieces, Role: domain.RoleDecode, Emitted: a.emitted(),
		})
	}
	sortRunning(out)
	return out
}
