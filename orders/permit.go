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

// permits gives one worker the right to let an engine load. A permit joins a lease
// of the pool, so that only one of its engines is away, and one of the load slots
// of the deployment, so that loads share the weight store's rate.
//
// The leases last as long as the longest load. A holder that dies during a load
// leaves them to expire, as the load goes on without it.
type permits struct {
	c      *Controller
	leases map[string]*lease.Lease
}

func newPermits(c *Controller) *permits {
	return &permits{c: c, leases: make(map[string]*lease.Lease)}
}

// permit is the right to let one engine of a pool load at a time.
type permit struct {
	leases []*lease.Lease
}

// take returns a permit, or false where another load is going on.
func (p *permits) take(ctx context.Context, pool domain.PoolName) (*permit, bool) {
	got := new(permit)
	if !p.add(ctx, got, "orders/load/pool/"+string(pool)) {
		p.watchSlots(ctx)
		return nil, false
	}
	for slot := range p.c.cfg.LoadSlots {
		if p.add(ctx, got, slotKey(slot)) {
			return got, true
		}
	}
	got.release()
	return nil, false
}

func slotKey(slot int) string { return fmt.Sprintf("orders/load/slot/%d", slot) }

// watchSlots reads the slots, so that those which a dead holder left expire at the
// same time as its lease of the pool.
func (p *permits) watchSlots(ctx context.Context) {
	for slot := range p.c.cfg.LoadSlots {
		if err := p.lease(slotKey(slot)).Watch(ctx); err != nil {
			return
		}
	}
}

// lease returns this worker's side of a lease. It is kept between tries, as a
// candidate must watch a row for its whole duration.
func (p *permits) lease(key string) *lease.Lease {
	l := p.leases[key]
	if l == nil {
		l = p.c.newLease(key, p.c.cfg.LoadTimeout)
		p.leases[key] = l
	}
	return l
}

// add joins a lease to the permit where it is free.
func (p *permits) add(ctx context.Context, to *permit, key string) bool {
	l := p.lease(key)
	err := l.Step(ctx)
	if errors.Is(err, ports.ErrStoreUnknown) {
		err = l.Step(ctx)
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

// valid says whether the permit holds for now.
func (p *permit) valid() bool {
	for _, l := range p.leases {
		if _, err := l.Term(); err != nil {
			return false
		}
	}
	return true
}

// release frees the permit. It must not be called while a load may be going on.
func (p *permit) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, l := range p.leases {
		if err := l.Release(ctx); err != nil {
			klog.V(1).InfoS("load permit left to expire", "err", err)
		}
	}
}

// abandon leaves the permit to expire, as a load may still be going on.
func (p *permit) abandon() {
	for _, l := range p.leases {
		l.Lose()
	}
}
