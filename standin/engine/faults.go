package engine

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Crash makes the engine lose everything and come back after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.counts.Crashes++
	e.stop()
	life := e.life
	time.AfterFunc(e.cfg.RestartAfter, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life {
			e.down = false
		}
	})
}

// Kill takes the engine down until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop()
}

// Restart brings a killed engine back, empty.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.clear()
	e.down = false
}

// stop ends all work. The caller holds the lock.
func (e *Engine) stop() {
	e.life++
	e.down = true
	broken := e.errorf(ports.EngineUnreachable, "connection reset by the engine")
	for _, job := range e.byAttempt {
		if e.active == job {
			job.timer.Stop()
			e.countPrefill(job, job.computed(time.Now()))
		}
		job.done <- prefillOutcome{err: broken}
	}
	for _, a := range e.attempts {
		e.endAttempt(a, broken)
	}
	if e.loading != nil {
		close(e.loading.done)
		e.loading = nil
	}
	e.resume()
	e.clear()
}

// Pause freezes the engine: calls hang and no token is produced until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resume()
}

func (e *Engine) resume() {
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}

// SetSlow multiplies the times of steps, prefills and loads; 1 is normal.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Down says whether the engine is down.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Counts returns what the engine counted.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Held returns the attempts that hold memory now, without lag.
func (e *Engine) Held() []ports.Running {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held()
}

// Holds says whether the engine holds memory for a request now.
func (e *Engine) Holds(key domain.RequestKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, a := range e.attempts {
		if !a.ended && id.Key() == key {
			return true
		}
	}
	for _, r := range e.results {
		if r.kv.id.Key() == key {
			return true
		}
	}
	return false
}

// CachedTokens returns the length of the longest cached prefix, without lag.
func (e *Engine) CachedTokens(keys []domain.PieceKey) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.peek(keys) * domain.TokensPerPiece
}

// HeldPieces returns the pieces and slots of decodes in use now.
func (e *Engine) HeldPieces() (pieces, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedPiece, e.usedSlots
}
