package keeper

import (
	"context"
	"sync"
)

// tasks runs the keeper's calls to engines and gates in goroutines that end
// with the keeper.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// spawn runs fn, unless the keeper has ended.
func (t *tasks) spawn(fn func(ctx context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.wg.Go(func() { fn(t.ctx) })
}

// close ends all tasks and waits for them.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}
