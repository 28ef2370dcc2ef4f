package engine

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// ReceivedOrder is an order that reached the engine.
type ReceivedOrder struct {
	Order ports.Order
	At    time.Time
	// Refused says that the fencing number was old.
	Refused bool
}

// loading is a model load in progress.
type loading struct {
	order ports.Order
	done  chan struct{}
}

// accepts says whether the engine takes new work of a role. The caller holds the
// lock.
func (e *Engine) accepts(role domain.Role, model string) error {
	if e.loading != nil {
		return e.errorf(ports.EngineInvalid, "the engine is loading a model; use another upstream")
	}
	if e.serving.Role != "" && e.serving.Role != role {
		return e.errorf(ports.EngineInvalid, "the engine is in role %s", e.serving.Role)
	}
	if model != "" && e.serving.Model != "" && model != e.serving.Model {
		return e.errorf(ports.EngineInvalid, "the engine serves model %q, not %q", e.serving.Model, model)
	}
	return nil
}

// Order implements ports.Engine. It returns when the engine is what the order
// says. A load goes on when ctx ends; the same order sent again waits for it.
func (e *Engine) Order(ctx context.Context, order ports.Order) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	done, err := e.follow(order)
	e.mu.Unlock()
	if err != nil || done == nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return e.errorf(ports.EngineUnreachable, "the load is not finished: %v", ctx.Err())
	}
}

// follow starts what an order asks for. It returns no channel where the engine
// is there already. The caller holds the lock.
func (e *Engine) follow(order ports.Order) (<-chan struct{}, error) {
	old := e.cfg.ChecksFencing && order.FencingToken < e.fence
	e.orders = append(e.orders, ReceivedOrder{Order: order, At: time.Now(), Refused: old})
	if old {
		return nil, e.errorf(ports.EngineFenced, "fencing number %d is older than %d", order.FencingToken, e.fence)
	}
	e.fence = max(e.fence, order.FencingToken)
	if e.loading != nil && sameTarget(e.loading.order, order) {
		return e.loading.done, nil
	}
	if e.loading == nil && sameTarget(e.serving, order) {
		return nil, nil
	}
	if sameModel(e.serving, order) && e.loading == nil {
		e.serving = order
		return nil, nil
	}
	l := &loading{order: order, done: make(chan struct{})}
	e.loading = l
	wait := e.cfg.LoadTime + e.fabric.weights(e.cfg.WeightBytes)
	e.after(e.scaled(wait), func() { e.loaded(l) })
	return l.done, nil
}

func (e *Engine) loaded(l *loading) {
	if e.loading == l {
		e.loading = nil
		e.serving = l.order
		e.cache = newPrefixCache(e.cfg.CachePieces)
	}
	close(l.done)
}

func sameModel(a, b ports.Order) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}

func sameTarget(a, b ports.Order) bool {
	return sameModel(a, b) && a.Role == b.Role
}

// Serving returns what the engine serves, and whether it is loading something else.
func (e *Engine) Serving() (serving ports.Order, loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving, e.loading != nil
}

// Orders returns all orders that reached the engine.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder(nil), e.orders...)
}

// weights books a load on the weight store and returns how long it takes.
func (f *Fabric) weights(bytes int64) time.Duration {
	if f.cfg.WeightRate == 0 || bytes == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	store := linkKey{engine: "weight-store"}
	now := time.Now()
	begin := now
	if f.busy[store].After(begin) {
		begin = f.busy[store]
	}
	f.busy[store] = begin.Add(transferTime(bytes, f.cfg.WeightRate))
	return f.busy[store].Sub(now)
}
