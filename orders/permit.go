package orders

import (
	"context"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/orders/lease"
	"greengagespoke/ports"
)

// permits acquires the permits that one worker needs before an engine may load. A
// permit combines a lease on the pool, so that only one of its engines is
// loading, with one of the deployment's load slots, so that concurrent loads
// share the weight store's bandwidth.
//
// The leases last as long as the longest load. If a holder crashes during a load,
// its leases are left to expire, because the load continues without it.
type permits struct {
	c      *Controller
	leases map[string]*lease.Lease
}

func newPermits(c *Controller) *permits {
	return &permits{c: c, leases: make(map[string]*lease.Lease)}
}

// permit is the right to let engines of one pool load, one at a time.
type permit struct {
	leases []*lease.Lease
}

// acquire returns a permit, or false if another load holds the pool or all slots.
func (p *permits) acquire(ctx context.Context, pool domain.PoolName) (*permit, bool) {
	acquired := new(permit)
	if !p.tryAdd(ctx, acquired, "orders/load/pool/"+string(pool)) {
		p.watchSlots(ctx)
		return nil, false
	}
	for slot := range p.c.cfg.LoadSlots {
		if p.tryAdd(ctx, acquired, slotKey(slot)) {
			return acquired, true
		}
	}
	acquired.release()
	return nil, false
}

func slotKey(slot int) string { return fmt.Sprintf("orders/load/slot/%d", slot) }

// watchSlots reads the slot leases, so that those of a crashed holder expire at
// the same time as its lease on the pool.
func (p *permits) watchSlots(ctx context.Context) {
	for slot := range p.c.cfg.LoadSlots {
		if err := p.lease(slotKey(slot)).Watch(ctx); err != nil {
			return
		}
	}
}

// lease returns this worker's view of a lease. It is kept between attempts,
// because a candidate must observe a row for its whole duration before it may
// take over.
func (p *permits) lease(key string) *lease.Lease {
	l := p.leases[key]
	if l == nil {
		l = p.c.newLease(key, p.c.cfg.LoadTimeout)
		p.leases[key] = l
	}
	return l
}

// tryAdd acquires a lease and adds it to the permit. It returns false if the
// lease is not available.
func (p *permits) tryAdd(ctx context.Context, to *permit, key string) bool {
	l := p.lease(key)
	err := l.AcquireOrRenew(ctx)
	if errors.Is(err, ports.ErrStoreUnknown) {
		err = l.AcquireOrRenew(ctx)
	}
	if err != nil {
		return false
	}
	if _, err := l.Term(); err != nil {
		return false
	}
	to.leases = append(to.leases, l)
	return true
}

// valid reports whether all leases of the permit are still held.
func (p *permit) valid() bool {
	for _, l := range p.leases {
		if _, err := l.Term(); err != nil {
			return false
		}
	}
	return true
}

// release frees the permit. It must not be called while a load may be in
// progress.
func (p *permit) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, l := range p.leases {
		if err := l.Release(ctx); err != nil {
			klog.V(1).InfoS("load permit left to expire", "err", err)
		}
	}
}

// abandon leaves the permit to expire, because a load may still be in progress.
func (p *permit) abandon() {
	for _, l := range p.leases {
		l.Abandon()
	}
}
