package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
	"greengagespoke/storeguard"
)

const (
	// maxLate bounds the outcomes that wait for the store.
	maxLate = 4096
	// latePause is the mean time between tries to keep them.
	latePause = 2 * time.Second
)

// lateOutcome is an outcome that is not kept yet.
type lateOutcome struct {
	held     claim
	response ports.ServiceResponse
}

// lateOutcomes holds outcomes that are on their way to the store or wait for it.
// This host answers resends of these calls from here.
type lateOutcomes struct {
	mu    sync.Mutex
	byKey map[string]lateOutcome
}

func newLateOutcomes() *lateOutcomes {
	return &lateOutcomes{byKey: make(map[string]lateOutcome)}
}

// add keeps an outcome in memory; it returns false where there is no room.
func (l *lateOutcomes) add(held claim, response ports.ServiceResponse) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byKey) >= maxLate {
		return false
	}
	l.byKey[held.key] = lateOutcome{held: held, response: response}
	return true
}

// find returns the waiting outcome of a call.
func (l *lateOutcomes) find(call Call) (ports.ServiceResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byKey) == 0 {
		return ports.ServiceResponse{}, false
	}
	found, ok := l.byKey[rowKey(call)]
	if !ok || found.held.row.Digest != call.Digest {
		return ports.ServiceResponse{}, false
	}
	return found.response, true
}

func (l *lateOutcomes) all() []lateOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]lateOutcome, 0, len(l.byKey))
	for _, late := range l.byKey {
		out = append(out, late)
	}
	return out
}

func (l *lateOutcomes) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byKey, key)
}

func (l *lateOutcomes) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byKey)
}

// Run keeps outcomes, tries again while the store fails, and removes old claims,
// until the context ends. It makes one last try to keep outcomes then, and
// returns nil.
func (c *Claimer) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { c.sweepLoop(ctx) })
	defer loops.Wait()
	c.keepLoop(ctx)
	return nil
}

// keepLoop keeps outcomes until the context ends.
func (c *Claimer) keepLoop(ctx context.Context) {
	c.running.Store(true)
	interval := newBackoff()
	interval.InitialInterval = latePause
	interval.MaxInterval = latePause
	for ctx.Err() == nil {
		timer := pause.NewTimer(interval.NextBackOff())
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
		if !c.keepLate(ctx) {
			_ = sleep(ctx, interval.NextBackOff())
		}
	}
	c.running.Store(false)
	c.keepLate(ctx)
}

// keepLate tries to keep all waiting outcomes, which share transactions. It
// returns false where one could not be kept.
func (c *Claimer) keepLate(ctx context.Context) bool {
	ctx = storeguard.WithClass(ctx, storeguard.ClassClaims)
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, late := range c.late.all() {
		wg.Go(func() {
			if !c.keep(ctx, late.held, late.response, 1) {
				failed.Store(true)
				return
			}
			c.late.remove(late.held.key)
		})
	}
	wg.Wait()
	c.count.late.Set(int64(c.late.size()))
	return !failed.Load()
}
