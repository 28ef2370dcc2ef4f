package orders

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/orders/lease"
	"greengagespoke/ports"
)

// maxTakeover bounds the time from the last renewal of a lease to the first order
// of the next holder.
const maxTakeover = lease.DefaultDuration + lease.DefaultDuration/2 + DefaultOrderFlight + 5*reconcileInterval

func TestRolloutTakesTurnsAndKeepsTheMinimum(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, 6, checks)
			b.pool.ServingMinimum = 5
			for _, e := range b.engines {
				e.loadTime = 20 * time.Second
			}
			b.platform.SetAnswerLoss(0.1)
			b.run()
			b.await("orders confirmed", 3*time.Minute, func() bool { return b.orderedCount() == 6 })
			b.edit(func(p *domain.Pool) { p.Version = 2 })
			b.await("all at the new version", 20*time.Minute, func() bool {
				if n := b.loadingCount(); n > 1 {
					t.Fatalf("%d engines load at a time; the pool keeps 5 of 6", n)
				}
				return b.allServe(2)
			})
			b.checkFencingTokens()
		})
	}
}

// orderedCount returns the number of engines that received an order.
func (b *testCluster) orderedCount() int {
	n := 0
	for _, e := range b.engines {
		e.set(func() { n += min(1, len(e.received)) })
	}
	return n
}

// checkFencingTokens checks that the fencing tokens of the orders that each
// engine accepted never decreased.
func (b *testCluster) checkFencingTokens() {
	b.t.Helper()
	for id, e := range b.engines {
		last := int64(0)
		for _, r := range e.received {
			if r.order.FencingToken < last {
				b.t.Errorf("engine %s accepted fencing token %d after %d", id, r.order.FencingToken, last)
			}
			last = r.order.FencingToken
		}
	}
}

func TestNothingBelowTheMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 4, true)
		b.pool.ServingMinimum = 3
		dead := b.engines["e3"]
		dead.load.FreePieces = -1
		b.run()
		b.edit(func(p *domain.Pool) { p.Version = 2 })
		time.Sleep(5 * time.Minute)
		if n := b.orderedCount(); n != 0 {
			t.Errorf("%d engines got an order while only the minimum answered", n)
		}
		dead.set(func() { dead.load.FreePieces = 100 })
		b.await("rollout goes on", 5*time.Minute, func() bool { return b.allServe(2) })
	})
}

// TestPausedHolderWakesAfterExpiry guards against a late order of a former
// holder. The holder of one zone checks its lease and is then paused beyond the
// expiry, so that its order arrives after that of its successor.
func TestPausedHolderWakesAfterExpiry(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, 2, checks)
			b.members = b.members[:3]
			paused := scope{"p", "z-1"}.leaseCandidates(b.members)[0]
			successor := scope{"p", "z-1"}.leaseCandidates(b.members)[1]
			b.start(paused)
			b.await("first order", time.Minute, func() bool { return len(b.engines["e0"].orders()) > 0 })
			// The load permit of the paused holder expires after testLoadTimeout.
			const pause = 2*testLoadTimeout + maxTakeover
			b.set(func() { b.pause[paused] = pause })
			b.edit(func(p *domain.Pool) { p.Version = 2 })
			time.Sleep(3 * time.Second)
			b.set(func() { b.cutOff[paused] = true })
			b.edit(func(p *domain.Pool) { p.Version = 3 })
			began := time.Now()
			b.start(successor)
			b.await("the successor's order", testLoadTimeout+maxTakeover, func() bool { return b.engines["e0"].version() == 3 })
			if elapsed := time.Since(began); !checks && elapsed < DefaultOrderFlight {
				t.Errorf("the successor ordered an engine that checks no fencing token after %v", elapsed)
			}
			time.Sleep(pause)
			late := false
			for _, r := range b.engines["e0"].orders() {
				late = late || r.order.Version == 2
			}
			if late == checks {
				t.Errorf("engine checks fencing tokens: %v, but the late order took effect: %v", checks, late)
			}
			b.await("repaired", resendInterval+time.Minute, func() bool { return b.engines["e0"].version() == 3 })
			if checks {
				b.checkFencingTokens()
			}
		})
	}
}

func (e *fakeEngine) orders() []receivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedOrder(nil), e.received...)
}

func (e *fakeEngine) version() int {
	order, _ := e.state()
	return order.Version
}

// TestLeaseIsCheckedBeforeEachOrder lets the lease expire during the first of
// several loads and checks that no further order is sent.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 6, false)
		for _, e := range b.engines {
			e.loadTime = 30 * time.Second
		}
		b.members = b.members[:1]
		b.run()
		b.await("orders confirmed", time.Minute, func() bool { return b.orderedCount() == 6 })
		b.edit(func(p *domain.Pool) { p.Version = 2 })
		b.await("first load", time.Minute, func() bool { return b.loadingCount() == 1 })
		b.set(func() { b.cutOff["h0"] = true })
		time.Sleep(10 * time.Minute)
		changed := 0
		for _, e := range b.engines {
			changed += e.version() - 1
		}
		if changed != 1 {
			t.Errorf("%d engines changed, want the one that was loading when the lease expired", changed)
		}
	})
}

func TestNewHolderWaitsOutOrdersInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 2, false)
		b.run()
		time.Sleep(DefaultOrderFlight - reconcileInterval)
		if n := b.orderedCount(); n != 0 {
			t.Errorf("%d engines that check no fencing token got an order of a new holder at once", n)
		}
		b.await("orders confirmed", 10*time.Second, func() bool { return b.orderedCount() == 2 })
	})
}

func TestOutageStopsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 4, false)
		b.run()
		b.await("orders confirmed", 3*time.Minute, func() bool { return b.orderedCount() == 4 })
		b.platform.SetOutage(true)
		time.Sleep(lease.DefaultDuration)
		b.edit(func(p *domain.Pool) { p.Version = 2 })
		time.Sleep(10 * time.Minute)
		for id, e := range b.engines {
			if e.version() != 1 {
				t.Errorf("engine %s was ordered without a lease", id)
			}
		}
		b.platform.SetOutage(false)
		b.await("rollout after the outage", 2*maxTakeover, func() bool { return b.allServe(2) })
	})
}

func TestHolderCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 2, true)
		b.run()
		b.await("orders confirmed", 3*time.Minute, func() bool { return b.orderedCount() == 2 })
		b.set(func() { b.cutOff[scope{"p", "z-1"}.leaseCandidates(b.members)[0]] = true })
		time.Sleep(lease.DefaultDuration)
		b.edit(func(p *domain.Pool) { p.Version = 2 })
		b.await("rollout by the other host", 2*maxTakeover, func() bool { return b.allServe(2) })
		b.checkFencingTokens()
	})
}

// TestHolderStaysUntilItLeaves starts the lowest-ranked candidate first and
// checks that it keeps the lease when better candidates join.
func TestHolderStaysUntilItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 2, true)
		all := b.members
		ranked := scope{"p", "z-1"}.leaseCandidates(append(all[:4:4], domain.Member{ID: "h4", Zone: "z-1", State: domain.MemberAlive}))
		worst := domain.HostID("h0")
		for _, id := range []domain.HostID{"h0", "h2", "h4"} {
			if !slices.Contains(ranked, id) {
				worst = id
			}
		}
		b.members = []domain.Member{{ID: worst, Zone: "z-1", State: domain.MemberAlive}}
		b.start(worst)
		b.await("orders confirmed", time.Minute, func() bool { return b.orderedCount() == 2 })
		b.set(func() {
			for _, id := range ranked {
				b.members = append(b.members, domain.Member{ID: id, Zone: "z-1", State: domain.MemberAlive})
			}
		})
		for _, id := range ranked {
			b.start(id)
		}
		time.Sleep(resendInterval + time.Minute)
		for _, r := range b.engines["e0"].orders() {
			if r.order.FencingToken != 1 {
				t.Fatalf("the lease changed hands: order with fencing token %d", r.order.FencingToken)
			}
		}
		b.set(func() { b.members[0].State = domain.MemberLeaving })
		b.await("the next holder orders", maxTakeover, func() bool {
			orders := b.engines["e0"].orders()
			return orders[len(orders)-1].order.FencingToken > 1
		})
	})
}

func TestLeavingEngineGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 4, true)
		b.platform.SetHost(ports.ListedHost{Name: "e2", Zone: "z-1", Leaving: true})
		b.run()
		b.await("the others have orders", time.Minute, func() bool { return b.orderedCount() == 3 })
		time.Sleep(time.Minute)
		if len(b.engines["e2"].orders()) != 0 {
			t.Error("a leaving engine got an order")
		}
	})
}

func TestBusyEngineFinishesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 2, true)
		b.run()
		b.await("orders confirmed", time.Minute, func() bool { return b.orderedCount() == 2 })
		e := b.engines["e0"]
		e.set(func() { e.load.Running = 3 })
		b.edit(func(p *domain.Pool) { p.Version = 2 })
		time.Sleep(30 * time.Second)
		if e.version() != 1 {
			t.Error("a busy engine was ordered to load at once")
		}
		e.set(func() { e.load.Running = 0 })
		b.await("ordered once idle", 10*time.Second, func() bool { return b.allServe(2) })
	})
}

func TestRolesFollowALastingImbalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, 8, true)
		b.pool.MinPrefill, b.pool.MaxPrefill = 1, 3
		b.run()
		b.await("orders confirmed", 3*time.Minute, func() bool { return b.orderedCount() == 8 })
		// A queue that does not last must not change a role.
		for range 10 {
			b.setQueue(5000)
			time.Sleep(minImbalanceDuration / 2)
			b.setQueue(0)
			time.Sleep(minImbalanceDuration / 2)
		}
		if n := b.prefillCount(); n != 2 {
			t.Fatalf("%d prefill engines after short imbalances, want 2", n)
		}
		b.setQueue(5000)
		b.await("one more prefill engine", 2*minImbalanceDuration, func() bool { return b.prefillCount() == 3 })
		b.await("the engine has its order", 10*time.Second, func() bool { return b.servingPrefill() == 3 })
		time.Sleep(10 * time.Minute)
		if n := b.prefillCount(); n != 3 {
			t.Errorf("%d prefill engines, more than the row allows", n)
		}
		b.setQueue(0)
		for _, e := range b.engines {
			e.set(func() { e.load.Running = 20 })
		}
		b.await("back to the smallest number", 20*time.Minute, func() bool { return b.prefillCount() == 1 })
		time.Sleep(10 * time.Minute)
		if n := b.prefillCount(); n != 1 {
			t.Errorf("%d prefill engines, fewer than the row allows", n)
		}
	})
}

func (b *testCluster) setQueue(tokens int) {
	for _, e := range b.engines {
		e.set(func() { e.load.QueuedTokens = tokens })
	}
}

// prefillCount returns the number of prefill engines in the pool's row.
func (b *testCluster) prefillCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, up := range b.pool.Upstreams {
		if up.Role == domain.RolePrefill {
			n++
		}
	}
	return n
}

// servingPrefill returns the number of engines that are in the prefill role.
func (b *testCluster) servingPrefill() int {
	n := 0
	for _, e := range b.engines {
		if order, _ := e.state(); order.Role == domain.RolePrefill {
			n++
		}
	}
	return n
}
