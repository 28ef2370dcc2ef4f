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

// engines notes orders and carries them out at once.
type engines struct {
	mu     sync.Mutex
	all    []*traffic.Upstream
	orders []traffic.RoleOrder
	busy   bool
	// failed makes orders fail after they were noted.
	failed bool
	delay  time.Duration
}

func (e *engines) services() []Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []Service{{Name: "s", MemoryTokens: testMemory, Engines: e.all}}
}

func (e *engines) Report(_ context.Context, up *traffic.Upstream) (traffic.EngineReport, error) {
	time.Sleep(e.delay)
	return traffic.EngineReport{Role: up.Role, Busy: e.busy, Orders: 4}, nil
}

func (e *engines) Order(_ context.Context, up *traffic.Upstream, order traffic.RoleOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.failed {
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

// duty gives terms of a second.
type duty struct {
	taken int64
	err   error
}

func (d *duty) Take(context.Context) (traffic.Term, error) {
	if d.err != nil {
		return traffic.Term{}, d.err
	}
	d.taken++
	end := time.Now().Add(time.Second)
	return traffic.Term{Fence: d.taken, Valid: func() bool { return time.Now().Before(end) }}, nil
}

func hosts(ids ...domain.HostID) []domain.Member {
	var out []domain.Member
	for _, id := range ids {
		out = append(out, domain.Member{ID: id, State: domain.MemberAlive, Incarnation: 1})
	}
	return out
}

// balance runs the balancers of hosts for a time.
func balance(t *testing.T, e *engines, d traffic.Duty, ready bool, length time.Duration, ids ...domain.HostID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var all sync.WaitGroup
	for _, id := range ids {
		b := New(Config{
			Self: id, Services: e.services, Members: func() []domain.Member { return hosts(ids...) },
			Loads: NewLoads(), Duty: d, Engines: e, Ready: func() bool { return ready },
		})
		all.Go(func() { _ = b.Run(ctx) })
	}
	all.Wait()
}

func TestOneHostBringsTheRolesIntoBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, d := &engines{all: fleet(21, 39)}, &duty{}
		balance(t, e, d, true, time.Minute, "a", "b", "c")
		if len(e.orders) != 6 || d.taken != 1 {
			t.Fatalf("%d orders in %d terms, want 6 in 1", len(e.orders), d.taken)
		}
		for _, o := range e.orders {
			if o.Holder != e.orders[0].Holder || o.Fence != 1 || o.After != 4 || o.Role != domain.RoleDecode {
				t.Fatalf("order %+v", o)
			}
		}
	})
}

// An order without an answer may be carried out later, so the next one waits until
// the registry had time to show it.
func TestOrderWithoutAnswerIsNotSentAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{all: fleet(21, 39), failed: true}
		balance(t, e, &duty{}, true, confirmChecks*checkGap+settleTime, "a")
		if len(e.orders) != 6 {
			t.Fatalf("%d orders, want 6", len(e.orders))
		}
	})
}

func TestNoOrderWithoutATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := &engines{all: fleet(21, 39), delay: 1500 * time.Millisecond}
		balance(t, late, &duty{}, true, 20*time.Second, "a")
		held := &engines{all: fleet(21, 39)}
		balance(t, held, &duty{err: traffic.ErrTermHeld}, true, 20*time.Second, "a")
		stopping := &engines{all: fleet(21, 39)}
		balance(t, stopping, &duty{}, false, 20*time.Second, "a")
		busy := &engines{all: fleet(21, 39), busy: true}
		balance(t, busy, &duty{}, true, 20*time.Second, "a")
		if n := len(late.orders) + len(held.orders) + len(stopping.orders) + len(busy.orders); n != 0 {
			t.Fatalf("%d orders, want none", n)
		}
	})
}

// A host that knows no other one yet must not take itself for the chosen one.
func TestLonelyHostWaits(t *testing.T) {
	members := hosts("a", "b")
	members[1].Incarnation = 0
	if chosen("a", members) {
		t.Fatal("a host that has not heard of any other one is chosen")
	}
	members[1].Incarnation = 1
	if chosen("a", members) == chosen("b", members) {
		t.Fatal("not exactly one of two hosts is chosen")
	}
	if !chosen("a", hosts("a")) {
		t.Fatal("the only host is not chosen")
	}
}
