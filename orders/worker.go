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
	// resendInterval is when a confirmed order is resent, to correct engines that
	// were restarted or that received a late order of an earlier holder.
	resendInterval = 5 * time.Minute
	// orderRetryDelay is the delay before retrying an order that failed.
	orderRetryDelay = 10 * time.Second
	// permitRetryDelay is the delay before asking again for a load permit.
	permitRetryDelay = 3 * time.Second
	// maxDrainWait is how long an order waits for an engine to finish its work.
	maxDrainWait = time.Minute
	// pollInterval is the minimum time between two reads of the engines' load for
	// role changes.
	pollInterval = 5 * time.Second
	// pollTimeout bounds one read of the engines' load.
	pollTimeout = time.Second
)

// confirmation is an order that an engine confirmed, and when.
type confirmation struct {
	order ports.Order
	at    time.Time
}

// worker sends orders to the engines of one scope while it holds the lease.
type worker struct {
	c       *Controller
	scope   scope
	lease   *lease.Lease
	permits *permits

	// term is the lease term that the fields below belong to.
	term int64
	// ordersAllowedAt is when orders of an earlier holder can no longer be in
	// flight.
	ordersAllowedAt time.Time
	confirmed       map[domain.UpstreamID]confirmation
	retryAt         map[domain.UpstreamID]time.Time
	// changedAt is when the desired order of an engine was first seen to differ
	// from the confirmed one.
	changedAt map[domain.UpstreamID]time.Time
	// permitRetryAt is when to ask again for a load permit.
	permitRetryAt time.Time
	roles         roleBalance
}

func (c *Controller) newWorker(s scope) *worker {
	return &worker{
		c:       c,
		scope:   s,
		lease:   c.newLease(s.key(), 0),
		permits: newPermits(c),
	}
}

// run keeps the lease and reconciles the engines under it until the context ends.
func (w *worker) run(ctx context.Context) {
	var renewal sync.WaitGroup
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	renewal.Go(func() { w.renew(renewCtx) })
	defer func() {
		stop()
		renewal.Wait()
		w.releaseLease()
	}()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.reconcile(ctx)
		}
	}
}

// renew acquires and renews the lease. It has its own goroutine and context, so
// that it continues while an order is in flight.
func (w *worker) renew(ctx context.Context) {
	ticker := time.NewTicker(w.lease.RenewInterval())
	defer ticker.Stop()
	holding := false
	for {
		if err := w.lease.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
			w.c.counts.errors.Add(1)
		}
		if held := w.lease.Remaining() > 0; held != holding {
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

// releaseLease frees the lease, so that the next holder need not wait for it to
// expire. No order is in flight at this point.
func (w *worker) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := w.lease.Release(ctx); err != nil {
		klog.V(1).InfoS("lease left to expire", "key", w.scope.key(), "err", err)
	}
}

// reconcile compares the engines with the pool's row once and sends the orders
// that are due, if this host holds the lease.
func (w *worker) reconcile(ctx context.Context) {
	term, err := w.lease.Term()
	if err != nil {
		return
	}
	pool, ok := w.c.cfg.Tables.Pool(w.scope.pool)
	if !ok {
		return
	}
	if term != w.term {
		w.startTerm(term, pool)
	}
	if time.Now().Before(w.ordersAllowedAt) {
		return
	}
	pending := w.pending(ctx, pool)
	if len(pending) == 0 {
		w.balanceRoles(ctx, pool)
		return
	}
	if time.Now().Before(w.permitRetryAt) {
		return
	}
	if ready := w.ready(ctx, pending); len(ready) > 0 {
		w.sendAll(ctx, pool, ready)
	}
}

// startTerm resets the state for a new lease term. The orders of earlier holders
// are not known, so every engine gets its order again. If the engines do not
// check the fencing token, orders are held until those of the earlier holder must
// have arrived.
func (w *worker) startTerm(term int64, pool domain.Pool) {
	w.term = term
	w.confirmed = make(map[domain.UpstreamID]confirmation)
	w.retryAt = make(map[domain.UpstreamID]time.Time)
	w.changedAt = make(map[domain.UpstreamID]time.Time)
	w.roles = roleBalance{}
	w.ordersAllowedAt = time.Now()
	if !pool.ChecksFencing {
		w.ordersAllowedAt = time.Now().Add(w.c.cfg.OrderFlight)
	}
}

// desired returns the order for the state that the pool's row asks of an
// upstream.
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
		if same && now.Sub(done.at) < resendInterval {
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

// ready returns those pending upstreams that are reachable, with the least work
// first. An order that changes something waits until the engine is idle, for at
// most maxDrainWait.
func (w *worker) ready(ctx context.Context, pending []domain.Upstream) []domain.Upstream {
	loads := w.c.loads(ctx, pending)
	now := time.Now()
	var out []domain.Upstream
	for _, up := range pending {
		load, reachable := loads[up.ID]
		if !reachable {
			w.retryAt[up.ID] = now.Add(orderRetryDelay)
			continue
		}
		since, changes := w.changedAt[up.ID]
		if changes && load.Running > 0 && now.Sub(since) < maxDrainWait {
			continue
		}
		out = append(out, up)
	}
	slices.SortStableFunc(out, func(a, b domain.Upstream) int {
		return cmp.Compare(disruption(loads[a.ID]), disruption(loads[b.ID]))
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

// leaving returns the upstreams that the host list marks as leaving. If the list
// is unavailable, it returns none.
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

// sendAll sends orders one after the other under a permit, because each may start
// a load.
func (w *worker) sendAll(ctx context.Context, pool domain.Pool, ready []domain.Upstream) {
	p, ok := w.permits.acquire(ctx, pool.Name)
	if !ok {
		w.c.counts.waited.Add(1)
		w.permitRetryAt = time.Now().Add(permitRetryDelay)
		return
	}
	for _, up := range ready {
		if w.c.countServing(ctx, pool)-1 < pool.ServingMinimum {
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

// loadOutcome is what is known about a load after its order was sent.
type loadOutcome int

const (
	// loadDone means that the engine is not loading because of this order.
	loadDone loadOutcome = iota
	// loadUnknown means that the load may still be in progress.
	loadUnknown
)

// send sends one order, right after checking the lease. If this host stops, the
// order still gets OrderFlight to arrive, so that the lease is released with no
// order in flight.
func (w *worker) send(ctx context.Context, pool domain.Pool, up domain.Upstream) loadOutcome {
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
	w.retryAt[up.ID] = time.Now().Add(orderRetryDelay)
	return w.handleOrderError(up, err)
}

// handleOrderError returns what is known about the load of an order that was not
// confirmed. It abandons the lease if the engine has seen a higher fencing token.
func (w *worker) handleOrderError(up domain.Upstream, err error) loadOutcome {
	var engineErr *ports.EngineError
	if !errors.As(err, &engineErr) {
		return loadUnknown
	}
	switch engineErr.Kind {
	case ports.EngineFenced:
		w.c.counts.fenced.Add(1)
		klog.InfoS("order rejected: engine has seen a newer fencing token", "upstream", up.ID, "term", w.term)
		w.lease.Abandon()
		return loadDone
	case ports.EngineInvalid:
		return loadDone
	default:
		return loadUnknown
	}
}

// loads returns the load of the engines that respond within pollTimeout.
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

// countServing returns the number of the pool's engines that respond and are not
// leaving.
func (c *Controller) countServing(ctx context.Context, pool domain.Pool) int {
	leaving := c.leaving(ctx)
	n := 0
	for id := range c.loads(ctx, pool.Upstreams) {
		if !leaving[id] {
			n++
		}
	}
	return n
}
