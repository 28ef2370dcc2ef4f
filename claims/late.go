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
	// maxPendingOutcomes bounds the number of outcomes held in memory.
	maxPendingOutcomes = 4096
	// storeRetryInterval is the mean time between tries to store them.
	storeRetryInterval = 2 * time.Second
)

// pendingOutcome is an outcome that is not stored yet.
type pendingOutcome struct {
	held     heldClaim
	response ports.ServiceResponse
}

// pendingOutcomes holds outcomes in memory until they are stored, for example
// while the table service is down. This host answers resends of these calls from
// memory.
type pendingOutcomes struct {
	mu    sync.Mutex
	byKey map[string]pendingOutcome
}

func newPendingOutcomes() *pendingOutcomes {
	return &pendingOutcomes{byKey: make(map[string]pendingOutcome)}
}

// add holds an outcome in memory. It returns false if maxPendingOutcomes are held
// already.
func (l *pendingOutcomes) add(held heldClaim, response ports.ServiceResponse) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byKey) >= maxPendingOutcomes {
		return false
	}
	l.byKey[held.key] = pendingOutcome{held: held, response: response}
	return true
}

// find returns the pending outcome of a call. A call with the same key but a
// different digest has none.
func (l *pendingOutcomes) find(call Call) (ports.ServiceResponse, bool) {
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

func (l *pendingOutcomes) all() []pendingOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]pendingOutcome, 0, len(l.byKey))
	for _, outcome := range l.byKey {
		out = append(out, outcome)
	}
	return out
}

func (l *pendingOutcomes) remove(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byKey, key)
}

func (l *pendingOutcomes) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byKey)
}

// Run stores pending outcomes, retries while the store fails, and removes expired
// claims until the context ends. It then tries once more to store the pending
// outcomes and returns nil.
func (c *Claimer) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { c.sweepLoop(ctx) })
	defer loops.Wait()
	c.storeLoop(ctx)
	return nil
}

// storeLoop stores pending outcomes until the context ends, whenever recordOutcome
// wakes it and at least about every storeRetryInterval. It backs off after a
// failure.
func (c *Claimer) storeLoop(ctx context.Context) {
	c.running.Store(true)
	policy := newBackoff()
	policy.InitialInterval = storeRetryInterval
	policy.MaxInterval = storeRetryInterval
	for ctx.Err() == nil {
		timer := pause.NewTimer(policy.NextBackOff())
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
		if !c.storePending(ctx) {
			_ = sleep(ctx, policy.NextBackOff())
		}
	}
	c.running.Store(false)
	c.storePending(ctx)
}

// storePending tries once to store each pending outcome. The writes run
// concurrently so that they share transactions. It returns false if one failed.
func (c *Claimer) storePending(ctx context.Context) bool {
	ctx = storeguard.WithClass(ctx, storeguard.ClassClaims)
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, outcome := range c.pending.all() {
		wg.Go(func() {
			if !c.storeOutcome(ctx, outcome.held, outcome.response, 1) {
				failed.Store(true)
				return
			}
			c.pending.remove(outcome.held.key)
		})
	}
	wg.Wait()
	c.count.outcomesWaiting.Set(int64(c.pending.size()))
	return !failed.Load()
}
