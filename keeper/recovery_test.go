package keeper

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

func runningDecode(req domain.SlotRequest) ports.Running {
	return ports.Running{ID: req.ID, Holder: req.Holder, Pieces: req.Pieces(), Role: domain.RoleDecode}
}

// TestNewKeeperCountsRunningAttempts checks that a host that newly keeps a group
// does not grant slots that running attempts use, adopts renewed attempts, and
// cancels the others after the grace period.
func TestNewKeeperCountsRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 2, 100}, ReserveThenPrefill{})
		kept, orphan := slotRequest("a", "kept", 1), slotRequest("a", "orphan", 1)
		b.engine("d0").run(runningDecode(kept))
		b.engine("d0").run(runningDecode(orphan))
		defer b.start(t, b.keeper)()
		grant := domain.Grant{ID: "old/1", Request: kept.ID, Holder: "g1", Pool: "m", Decode: "d0", Prefill: "p0", Pieces: kept.Pieces()}
		renewed := make(chan struct{})
		go func() {
			defer close(renewed)
			for range 10 {
				if lost, err := b.keeper.Renew(t.Context(), testGroup, "g1", []domain.Grant{grant}); err != nil || len(lost) > 0 {
					t.Errorf("renewal of an unknown grant: lost %v, %v", lost, err)
				}
				time.Sleep(time.Second)
			}
		}()
		began := time.Now()
		next := mustAcquireInTime(t, b.keeper, slotRequest("b", "1", 1), 10*time.Second)
		waited := time.Since(began)
		if next.Decode != "d0" || waited < strayGraceDeadHolder {
			t.Errorf("granted %s after %v, want d0 after the grace period of %v", next.Decode, waited, strayGraceDeadHolder)
		}
		if !b.engine("d0").wasCanceled(orphan.ID) || b.engine("d0").wasCanceled(kept.ID) {
			t.Error("want only the attempt without a grant canceled")
		}
		<-renewed
	})
}

// mustAcquireInTime calls again while the request is queued, and fails the test
// if it has no grant within the bound.
func mustAcquireInTime(t *testing.T, k *Keeper, req domain.SlotRequest, bound time.Duration) domain.Grant {
	t.Helper()
	began := time.Now()
	for {
		grant, err := k.Acquire(t.Context(), testGroup, req)
		if err == nil && time.Since(began) <= bound {
			return grant
		}
		if !errors.Is(err, ports.ErrStillQueued) || time.Since(began) > bound {
			t.Fatalf("acquire %v: %v after %v", req.ID, err, time.Since(began))
		}
	}
}

func TestUnreachableEngineGetsNoGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 1, 100}, ReserveThenPrefill{})
		b.engine("d0").setDown(true)
		defer b.start(t, b.keeper)()
		if grant := mustAcquire(t, b.keeper, slotRequest("a", "1", 1)); grant.Decode != "d1" {
			t.Errorf("granted %s, which never answered", grant.Decode)
		}
		go func() {
			time.Sleep(2 * time.Second)
			b.engine("d0").setDown(false)
		}()
		if grant := mustAcquire(t, b.keeper, slotRequest("a", "2", 1)); grant.Decode != "d0" {
			t.Errorf("granted %s, want d0 once it answers", grant.Decode)
		}
	})
}

func TestFailingEngineIsTakenOutAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 10, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		b.engine("d0").setDown(true)
		time.Sleep(5 * time.Second)
		for i := range 10 {
			if grant := mustAcquire(t, b.keeper, slotRequest("a", fmt.Sprint(i), 1)); grant.Decode == "d0" {
				t.Fatal("granted an engine whose calls fail")
			}
		}
		if got := b.counters.Int(defTakenOut).Value(); got != 1 {
			t.Errorf("taken out %d times, want 1", got)
		}
		b.engine("d0").setDown(false)
		mustAcquire(t, b.keeper, slotRequest("a", "last", 1))
	})
}

func TestFailedGrantsTakeUpstreamOutOfRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{2, 1, 10, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		for i := range maxFailedGrants {
			grant := mustAcquire(t, b.keeper, slotRequest("a", fmt.Sprint(i), 1))
			_ = b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grant, Reason: domain.ReleaseFailed}})
		}
		began := time.Now()
		mustAcquireInTime(t, b.keeper, slotRequest("a", "next", 1), 10*time.Second)
		if waited := time.Since(began); waited < failedGrantBackoff {
			t.Errorf("granted after %v, want a backoff of %v", waited, failedGrantBackoff)
		}
	})
}

// TestLeavingUpstreamGetsNoGrants checks that an upstream that the host list
// marks as leaving receives no new grants.
func TestLeavingUpstreamGetsNoGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 4, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, slotRequest("a", "0", 1))
		b.hosts.leave("d0")
		time.Sleep(hostListInterval + time.Millisecond)
		for i := range 3 {
			if grant := mustAcquire(t, b.keeper, slotRequest("b", fmt.Sprint(i), 1)); grant.Decode == "d0" {
				t.Error("granted a leaving upstream")
			}
		}
	})
}

// TestExpiredGrantIsCanceledBeforeReuse checks that the slot of a grant that is
// not renewed becomes free only after the engine acknowledged the cancel.
func TestExpiredGrantIsCanceledBeforeReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		req := slotRequest("a", "1", 1)
		mustAcquire(t, b.keeper, req)
		b.engine("d0").run(runningDecode(req))
		began := time.Now()
		mustAcquireInTime(t, b.keeper, slotRequest("b", "1", 1), 10*time.Second)
		if !b.engine("d0").wasCanceled(req.ID) {
			t.Error("slot granted again without a cancel on the engine")
		}
		if waited := time.Since(began); waited < grantTerm || waited > 10*time.Second {
			t.Errorf("slot free after %v, want between the term and 10 s", waited)
		}
	})
}

// TestKeeperAndGateDieTogether checks that the next keeper frees the memory
// within 10 s if a keeper and a gate die together.
func TestKeeperAndGateDieTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		stop := b.start(t, b.keeper)
		req := slotRequest("a", "1", 1)
		mustAcquire(t, b.keeper, req)
		b.engine("d0").run(runningDecode(req))
		stop()
		b.members.set(member("h2"))
		second := b.newKeeper("h2", nil)
		defer b.start(t, second)()
		mustAcquireInTime(t, second, slotRequest("b", "1", 1), 10*time.Second)
		if !b.engine("d0").wasCanceled(req.ID) {
			t.Error("the attempt of the dead gate still holds memory")
		}
	})
}

// leave marks the fixture's own host as leaving and adds other members.
func (b *fixture) leave(others ...domain.Member) {
	self := member("h1")
	self.State = domain.MemberLeaving
	b.members.set(append(others, self)...)
}

func TestHandoverStopsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		waiting := make(chan error)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "2", 1))
			waiting <- err
		}()
		synctest.Wait()
		b.leave(member("h2"))
		if err := b.keeper.Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-waiting; !errors.Is(err, ports.ErrNotKeeper) {
			t.Errorf("waiting request got %v, want ErrNotKeeper", err)
		}
		if _, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "3", 1)); !errors.Is(err, ports.ErrNotKeeper) {
			t.Errorf("new request got %v, want ErrNotKeeper", err)
		}
	})
}

// TestLastHostKeepsGranting checks that a leaving host keeps its groups if no
// other host is alive, so that a planned stop of all hosts does not interrupt
// requests that wait for a slot.
func TestLastHostKeepsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, nil)
		defer b.start(t, b.keeper)()
		held := mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		waiting := make(chan error)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "2", 1))
			waiting <- err
		}()
		synctest.Wait()
		b.leave()
		if err := b.keeper.Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: held, Reason: domain.ReleaseDone}}); err != nil {
			t.Fatal(err)
		}
		if err := <-waiting; err != nil {
			t.Errorf("waiting request got %v, want the slot that became free", err)
		}
	})
}
