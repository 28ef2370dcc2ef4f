package claims

import (
	"context"
	"sync"
	"time"

	"greengagespoke/ports"
)

const (
	// maxLate bounds the outcomes that wait for the store.
	maxLate = 4096
	// latePause is the mean time between tries to keep them.
	latePause = 2 * time.Second
	// lateStop bounds the last try when the host stops.
	lateStop = 5 * time.Second
)

// lateOutcome is an outcome that is not kept yet.
type lateOutcome struct {
	held     claim
	response ports.ServiceResponse
}

// lateOutcomes holds outcomes of calls that ran while the store failed. This
// host answers resends of these calls from here.
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

// Run keeps the outcomes that could not be kept at once, until the context ends.
// It makes one last try then, and returns nil.
func (c *Claimer) Run(ctx context.Context) error {
	pause := newBackoff()
	pause.InitialInterval = latePause
	pause.MaxInterval = latePause
	for sleep(ctx, pause.NextBackOff()) == nil {
		c.keepLate(ctx)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateStop)
	defer cancel()
	c.keepLate(last)
	return nil
}

// keepLate tries to keep all waiting outcomes. They share transactions.
func (c *Claimer) keepLate(ctx context.Context) {
	var wg sync.WaitGroup
	for _, late := range c.late.all() {
		wg.Go(func() {
			if c.keep(ctx, late.held, late.response, 1) {
				c.late.remove(late.held.key)
			}
		})
	}
	wg.Wait()
	c.count.late.Set(int64(c.late.size()))
}
