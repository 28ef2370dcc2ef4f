package replay

import (
	"context"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

// FixedShares is a baseline: the decode slots are dealt out to the gates once,
// and each gate queues for its own in order of arrival.
type FixedShares struct{}

// Name implements Policy.
func (FixedShares) Name() string { return "fixed-shares" }

// Start implements Policy.
func (FixedShares) Start(env *Env) Fleet {
	return startBaseline(env, func(host int, r *reports) chooser {
		f := &fixedShares{reports: r, free: make(map[domain.PoolName][]domain.Upstream)}
		for _, pool := range env.Trace.Pools {
			f.free[pool.Name] = share(pool, host, len(env.Hosts))
		}
		return f
	})
}

// share returns the decode slots of one host: each slot of the pool goes to one
// host, in turn.
func share(pool domain.Pool, host, hosts int) []domain.Upstream {
	var own []domain.Upstream
	n := 0
	for _, up := range pool.Upstreams {
		if up.Role != domain.RoleDecode {
			continue
		}
		for range up.Slots {
			if n%hosts == host {
				own = append(own, up)
			}
			n++
		}
	}
	return own
}

// fixedShares is one gate's share. Waiting requests are served in order.
type fixedShares struct {
	reports *reports

	mu      sync.Mutex
	free    map[domain.PoolName][]domain.Upstream
	waiting []*shareWaiter
}

type shareWaiter struct {
	pool domain.PoolName
	slot chan domain.Upstream
}

// fixedLead is the time that a prefill and a transfer are assumed to take.
const fixedLead = 300 * time.Millisecond

func (f *fixedShares) choose(ctx context.Context, r *baselineRequest) (*baselinePlace, error) {
	slot, err := f.take(ctx, r)
	if err != nil {
		return nil, err
	}
	prefill, ok := f.reports.prefill(r.pool)
	for !ok && pause.For(ctx, reportInterval) {
		prefill, ok = f.reports.prefill(r.pool)
	}
	release := func() { f.give(r.pool.Name, slot) }
	return &baselinePlace{prefill: prefill, decode: slot, release: release, full: make(map[domain.UpstreamID]bool)}, nil
}

// take waits for a slot of the own share.
func (f *fixedShares) take(ctx context.Context, r *baselineRequest) (domain.Upstream, error) {
	w := &shareWaiter{pool: r.pool.Name, slot: make(chan domain.Upstream, 1)}
	f.mu.Lock()
	f.waiting = append(f.waiting, w)
	f.serve()
	f.mu.Unlock()
	if r.route.Class == domain.ClassInteractive && r.next == r.c.DeliveredTokens+1 {
		var cancel context.CancelFunc
		left := r.route.FirstToken.D() - fixedLead - time.Since(r.accepted)
		ctx, cancel = context.WithTimeout(ctx, max(left, 0))
		defer cancel()
	}
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-ctx.Done():
		f.leave(w)
		return domain.Upstream{}, refuseLate()
	}
}

// serve gives free slots to the first waiting requests. The caller holds the lock.
func (f *fixedShares) serve() {
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		free := f.free[w.pool]
		if len(free) == 0 {
			kept = append(kept, w)
			continue
		}
		w.slot <- free[0]
		f.free[w.pool] = free[1:]
	}
	f.waiting = kept
}

func (f *fixedShares) give(pool domain.PoolName, slot domain.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free[pool] = append(f.free[pool], slot)
	f.serve()
}

// leave takes a waiting request out and gives back a slot that it got meanwhile.
func (f *fixedShares) leave(gone *shareWaiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, w := range f.waiting {
		if w == gone {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			return
		}
	}
	slot := <-gone.slot
	f.free[gone.pool] = append(f.free[gone.pool], slot)
	f.serve()
}

func (f *fixedShares) another(*baselinePlace) (domain.Upstream, bool) {
	return domain.Upstream{}, false
}
