package orders

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/orders/lease"
	"greengagespoke/ports"
)

const (
	// resendAfter is when a confirmed order is sent again, so that engines that
	// were restarted, or reached by a late order of an earlier holder, are put
	// right.
	resendAfter = 5 * time.Minute
	// retryAfter is the pause after an order that failed.
	retryAfter = 10 * time.Second
	// turnWait is the pause before asking again for a turn to load.
	turnWait = 3 * time.Second
	// drainWait is how long an order waits for an engine to finish its work.
	drainWait = time.Minute
	// pollInterval is the time between two reads of the engines' load.
	pollInterval = 5 * time.Second
	// pollTimeout bounds one read of an engine's load.
	pollTimeout = time.Second
)

// confirmation is an order that an engine confirmed.
type confirmation struct {
	order ports.Order
	at    time.Time
}

// worker orders the engines of one scope while it holds the lease.
type worker struct {
	c       *Controller
	scope   scope
	lease   *lease.Lease
	permits *permits

	// term is the term that the fields below belong to.
	term int64
	// actFrom is when orders of an earlier holder can no longer be in flight.
	actFrom   time.Time
	confirmed map[domain.UpstreamID]confirmation
	retryAt   map[domain.UpstreamID]time.Time
	// changedAt is since when an engine's order differs from the confirmed one.
	changedAt map[domain.UpstreamID]time.Time
	// turnAt is when to ask again for a turn to load.
	turnAt time.Time
	roles  balance
}

func (c *Controller) newWorker(s scope) *worker {
	return &worker{
		c:       c,
		scope:   s,
		lease:   c.newLease(s.key(), 0),
		permits: newPermits(c),
	}
}

// run holds the lease and acts under it until the context ends.
func (w *worker) run(ctx context.Context) {
	var renewal sync.WaitGroup
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	renewal.Go(func() { w.renew(renewCtx) })
	defer func() {
		stop()
		renewal.Wait()
		w.free()
	}()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.act(ctx)
		}
	}
}

// renew takes and renews the lease. It goes on while an order is in flight.
func (w *worker) renew(ctx context.Context) {
	ticker := time.NewTicker(w.lease.RenewEvery())
	defer ticker.Stop()
	holding := false
	for {
		if err := w.lease.Step(ctx); err != nil && ctx.Err() == nil {
			w.c.counts.errors.Add(1)
		}
		if held := w.lease.Left() > 0; held != holding {
			holding = held
			w.c.counts.leases.Add(map[bool]int64{true: 1, false: -1}[held])
		}
		select {
		case <-ctx.Done():
			if holding {
				w.c.counts.leases.Add(-1)
			}
			return
		case <-ticker.C:
		}
	}
}

// free gives the lease back, so that the next holder need not wait. No order is in
// flight any more.
func (w *worker) free() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := w.lease.Release(ctx); err != nil {
		klog.V(1).InfoS("lease left to expire", "key", w.scope.key(), "err", err)
	}
}

// act does one round under the lease.
func (w *worker) act(ctx context.Context) {
	term, err := w.lease.Term()
	if err != nil {
		return
	}
	pool, ok := w.c.cfg.Tables.Pool(w.scope.pool)
	if !ok {
		return
	}
	if term != w.term {
		w.begin(term, pool)
	}
	if time.Now().Before(w.actFrom) {
		return
	}
	pending := w.pending(ctx, pool)
	if len(pending) == 0 {
		w.balanceRoles(ctx, pool)
		return
	}
	if time.Now().Before(w.turnAt) {
		return
	}
	if ready := w.ready(ctx, pending); len(ready) > 0 {
		w.sendAll(ctx, pool, ready)
	}
}

// begin starts a term. What earlier holders ordered is not known, so every engine
// gets its order again. Where the engines do not check the fencing number, orders
// of the earlier holder must have arrived first.
func (w *worker) begin(term int64, pool domain.Pool) {
	w.term = term
	w.confirmed = make(map[domain.UpstreamID]confirmation)
	w.retryAt = make(map[domain.UpstreamID]time.Time)
	w.changedAt = make(map[domain.UpstreamID]time.Time)
	w.roles = balance{}
	w.actFrom = time.Now()
	if !pool.ChecksFencing {
		w.actFrom = time.Now().Add(w.c.cfg.OrderFlight)
	}
}

// desired returns what an upstream should be.
func desired(pool domain.Pool, up domain.Upstream) ports.Order {
	return ports.Order{Model: pool.Model, Adapter: pool.Adapter, Version: pool.Version, Role: up.Role}
}

// pending returns the upstreams of the scope that need an order now.
func (w *worker) pending(ctx context.Context, pool domain.Pool) []domain.Upstream {
	now := time.Now()
	var out []domain.Upstream
	for _, up := range w.engines(ctx, pool) {
		done, ok := w.confirmed[up.ID]
		same := ok && done.order == desired(pool, up)
		if same && now.Sub(done.at) < resendAfter {
			continue
		}
		if _, noted := w.changedAt[up.ID]; !same && !noted {
			w.changedAt[up.ID] = now
		}
		if !now.Before(w.retryAt[up.ID]) {
			out = append(out, up)
		}
	}
	return out
}

// ready returns those of the pending upstreams that answer, with the least work
// first. Where the order changes something, it waits for the engine to become idle,
// but not for ever.
func (w *worker) ready(ctx context.Context, pending []domain.Upstream) []domain.Upstream {
	loads := w.c.loads(ctx, pending)
	now := time.Now()
	var out []domain.Upstream
	for _, up := range pending {
		load, reachable := loads[up.ID]
		if !reachable {
			w.retryAt[up.ID] = now.Add(retryAfter)
			continue
		}
		since, changes := w.changedAt[up.ID]
		if changes && load.Running > 0 && now.Sub(since) < drainWait {
			continue
		}
		out = append(out, up)
	}
	slices.SortStableFunc(out, func(a, b domain.Upstream) int {
		return cmp.Compare(work(loads[a.ID]), work(loads[b.ID]))
	})
	return out
}

// engines returns the upstreams of the scope that are not leaving.
func (w *worker) engines(ctx context.Context, pool domain.Pool) []domain.Upstream {
	leaving := w.c.leaving(ctx)
	var out []domain.Upstream
	for _, up := range pool.Upstreams {
		if up.Zone == w.scope.zone && !leaving[up.ID] {
			out = append(out, up)
		}
	}
	return out
}

// leaving returns the upstreams that the host list marks as leaving. An outage of
// the list marks none.
func (c *Controller) leaving(ctx context.Context) map[domain.UpstreamID]bool {
	out := make(map[domain.UpstreamID]bool)
	if c.cfg.HostList == nil {
		return out
	}
	hosts, err := c.cfg.HostList.Hosts(ctx)
	if err != nil {
		return out
	}
	for _, h := range hosts {
		if h.Leaving {
			out[domain.UpstreamID(h.Name)] = true
		}
	}
	return out
}

// sendAll sends orders one after the other under a permit. Each may start a load.
func (w *worker) sendAll(ctx context.Context, pool domain.Pool, ready []domain.Upstream) {
	p, ok := w.permits.take(ctx, pool.Name)
	if !ok {
		w.c.counts.waited.Add(1)
		w.turnAt = time.Now().Add(turnWait)
		return
	}
	for _, up := range ready {
		if w.c.serving(ctx, pool)-1 < pool.ServingMinimum {
			w.c.counts.heldBack.Add(1)
			break
		}
		if ctx.Err() != nil || !p.valid() {
			break
		}
		if w.send(ctx, pool, up) == loadUnknown {
			p.abandon()
			return
		}
	}
	p.release()
}

// outcome says what is known after an order was sent.
type outcome int

const (
	// loadDone means that the engine is not loading because of the order.
	loadDone outcome = iota
	// loadUnknown means that a load may still be going on.
	loadUnknown
)

// send sends one order. The lease is checked right before. Where this host stops,
// the order has the time of its flight to arrive, so that the lease is freed with
// none in flight.
func (w *worker) send(ctx context.Context, pool domain.Pool, up domain.Upstream) outcome {
	wanted := desired(pool, up)
	sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.c.cfg.LoadTimeout)
	defer cancel()
	stopWaiting := context.AfterFunc(ctx, func() { time.AfterFunc(w.c.cfg.OrderFlight, cancel) })
	defer stopWaiting()
	engine := w.c.cfg.Upstreams.Engine(up)
	term, err := w.lease.Term()
	if err != nil || term != w.term {
		return loadDone
	}
	order := wanted
	order.FencingToken = term
	err = engine.Order(sending, order)
	w.c.counts.sent.Add(1)
	if err == nil {
		w.confirmed[up.ID] = confirmation{wanted, time.Now()}
		delete(w.changedAt, up.ID)
		return loadDone
	}
	w.c.counts.failed.Add(1)
	w.retryAt[up.ID] = time.Now().Add(retryAfter)
	return w.failed(up, err)
}

// failed deals with an order that was not confirmed.
func (w *worker) failed(up domain.Upstream, err error) outcome {
	var engineErr *ports.EngineError
	if !errors.As(err, &engineErr) {
		return loadUnknown
	}
	switch engineErr.Kind {
	case ports.EngineFenced:
		w.c.counts.fenced.Add(1)
		klog.InfoS("order refused by a newer fencing number", "upstream", up.ID, "term", w.term)
		w.lease.Lose()
		return loadDone
	case ports.EngineInvalid:
		return loadDone
	default:
		return loadUnknown
	}
}

// loads returns the load of those engines that answer.
func (c *Controller) loads(ctx context.Context, engines []domain.Upstream) map[domain.UpstreamID]ports.Load {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	out := make(map[domain.UpstreamID]ports.Load)
	for _, up := range engines {
		calls.Go(func() {
			load, err := c.cfg.Upstreams.Engine(up).Load(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[up.ID] = load
		})
	}
	calls.Wait()
	return out
}

// serving returns the number of the pool's engines that answer and are not leaving.
func (c *Controller) serving(ctx context.Context, pool domain.Pool) int {
	leaving := c.leaving(ctx)
	n := 0
	for id := range c.loads(ctx, pool.Upstreams) {
		if !leaving[id] {
			n++
		}
	}
	return n
}
