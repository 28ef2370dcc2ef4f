package keeper

import (
	"context"
	"sync"
)

// tasks runs the keeper's calls to engines and gates in goroutines that end with
// the keeper.
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

// spawn runs fn in a new goroutine, unless the tasks are closed.
func (t *tasks) spawn(fn func(ctx context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.wg.Go(func() { fn(t.ctx) })
}

// close cancels all tasks and waits for them to return.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}
