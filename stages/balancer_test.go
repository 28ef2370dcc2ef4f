package stages

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// fakeEngines records orders and carries them out immediately.
type fakeEngines struct {
	mu     sync.Mutex
	all    []*traffic.Upstream
	orders []traffic.RoleOrder
	busy   bool
	// failOrders makes orders fail after they were recorded, without a change of role.
	failOrders bool
	// delay is the duration of a report call.
	delay time.Duration
}

func (e *fakeEngines) services() []Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []Service{{Name: "s", MemoryTokens: testMemoryTokens, Engines: e.all}}
}

func (e *fakeEngines) Report(_ context.Context, up *traffic.Upstream) (traffic.EngineReport, error) {
	time.Sleep(e.delay)
	return traffic.EngineReport{Role: up.Role, Busy: e.busy, Orders: 4}, nil
}

func (e *fakeEngines) Order(_ context.Context, up *traffic.Upstream, order traffic.RoleOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.failOrders {
		return errors.New("no answer")
	}
	changed := *up
	changed.Role = order.Role
	for i, other := range e.all {
		if other.ID == up.ID {
			e.all[i] = &changed
		}
	}
	return nil
}

// fakeDuty grants lease terms of one second, or fails with err.
type fakeDuty struct {
	terms int64
	err   error
}

func (d *fakeDuty) Acquire(context.Context) (traffic.Term, error) {
	if d.err != nil {
		return traffic.Term{}, d.err
	}
	d.terms++
	end := time.Now().Add(time.Second)
	return traffic.Term{Fence: d.terms, Valid: func() bool { return time.Now().Before(end) }}, nil
}

func aliveMembers(ids ...domain.HostID) []domain.Member {
	var out []domain.Member
	for _, id := range ids {
		out = append(out, domain.Member{ID: id, State: domain.MemberAlive, Incarnation: 1})
	}
	return out
}

// runBalancers runs one balancer for each host for the given duration.
func runBalancers(t *testing.T, e *fakeEngines, d traffic.Duty, ready bool, duration time.Duration, ids ...domain.HostID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range ids {
		b := New(Config{
			Self: id, Services: e.services, Members: func() []domain.Member { return aliveMembers(ids...) },
			Loads: NewLoads(), Duty: d, Engines: e, Ready: func() bool { return ready },
		})
		wg.Go(func() { _ = b.Run(ctx) })
	}
	wg.Wait()
}

func TestOneHostRebalancesRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, d := &fakeEngines{all: testEngines(21, 39)}, &fakeDuty{}
		runBalancers(t, e, d, true, time.Minute, "a", "b", "c")
		if len(e.orders) != 6 || d.terms != 1 {
			t.Fatalf("%d orders in %d terms, want 6 in 1", len(e.orders), d.terms)
		}
		for _, o := range e.orders {
			if o.Holder != e.orders[0].Holder || o.Fence != 1 || o.After != 4 || o.Role != domain.RoleDecode {
				t.Fatalf("order %+v", o)
			}
		}
	})
}

// An engine may carry out an order that it did not answer, so no order is sent again
// before the change had time to appear in the registry.
func TestUnansweredOrderIsNotResentBeforeSettleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{all: testEngines(21, 39), failOrders: true}
		runBalancers(t, e, &fakeDuty{}, true, imbalanceChecks*checkInterval+settleTime, "a")
		if len(e.orders) != 6 {
			t.Fatalf("%d orders, want 6", len(e.orders))
		}
	})
}

// No order is sent if the lease term expires during the report call, another host holds
// the lease, this host is not ready or the engine is busy with an order.
func TestNoOrdersWhenNotPermitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := &fakeEngines{all: testEngines(21, 39), delay: 1500 * time.Millisecond}
		runBalancers(t, late, &fakeDuty{}, true, 20*time.Second, "a")
		held := &fakeEngines{all: testEngines(21, 39)}
		runBalancers(t, held, &fakeDuty{err: traffic.ErrTermHeld}, true, 20*time.Second, "a")
		stopping := &fakeEngines{all: testEngines(21, 39)}
		runBalancers(t, stopping, &fakeDuty{}, false, 20*time.Second, "a")
		busy := &fakeEngines{all: testEngines(21, 39), busy: true}
		runBalancers(t, busy, &fakeDuty{}, true, 20*time.Second, "a")
		if n := len(late.orders) + len(held.orders) + len(stopping.orders) + len(busy.orders); n != 0 {
			t.Fatalf("%d orders, want none", n)
		}
	})
}

// A host that has not heard from any other host yet must not consider itself preferred.
func TestHostWithoutConfirmedPeersIsNotPreferred(t *testing.T) {
	members := aliveMembers("a", "b")
	members[1].Incarnation = 0
	if isPreferredHost("a", members) {
		t.Fatal("a host that has not heard from any other host is preferred")
	}
	members[1].Incarnation = 1
	if isPreferredHost("a", members) == isPreferredHost("b", members) {
		t.Fatal("not exactly one of two hosts is preferred")
	}
	if !isPreferredHost("a", aliveMembers("a")) {
		t.Fatal("the only host is not preferred")
	}
}
