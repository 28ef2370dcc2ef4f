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

func decoding(req domain.PlaceRequest) ports.Running {
	return ports.Running{ID: req.ID, Holder: req.Holder, Pieces: req.Pieces(), Role: domain.RoleDecode}
}

// TestNewKeeperCountsWhatEnginesRun checks that a host that newly keeps a group
// does not grant places that its engines' attempts use, that renewal adopts
// those, and that the others are canceled after the grace time.
func TestNewKeeperCountsWhatEnginesRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 2, 100}, ReserveThenPrefill{})
		kept, orphan := place("a", "kept", 1), place("a", "orphan", 1)
		b.engine("d0").run(decoding(kept))
		b.engine("d0").run(decoding(orphan))
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
		next := mustAcquireInTime(t, b.keeper, place("b", "1", 1), 10*time.Second)
		waited := time.Since(began)
		if next.Decode != "d0" || waited < strayGraceGone {
			t.Errorf("granted %s after %v, want d0 after the grace time of %v", next.Decode, waited, strayGraceGone)
		}
		if !b.engine("d0").wasCanceled(orphan.ID) || b.engine("d0").wasCanceled(kept.ID) {
			t.Error("want exactly the attempt that nobody claims canceled")
		}
		<-renewed
	})
}

// mustAcquireInTime calls again while the request is queued.
func mustAcquireInTime(t *testing.T, k *Keeper, req domain.PlaceRequest, bound time.Duration) domain.Grant {
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
		b := newBench(size{1, 2, 1, 100}, ReserveThenPrefill{})
		b.engine("d0").setDown(true)
		defer b.start(t, b.keeper)()
		if grant := mustAcquire(t, b.keeper, place("a", "1", 1)); grant.Decode != "d1" {
			t.Errorf("granted %s, which never answered", grant.Decode)
		}
		go func() {
			time.Sleep(2 * time.Second)
			b.engine("d0").setDown(false)
		}()
		if grant := mustAcquire(t, b.keeper, place("a", "2", 1)); grant.Decode != "d0" {
			t.Errorf("granted %s, want d0 once it answers", grant.Decode)
		}
	})
}

func TestFailingEngineIsTakenOutAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 2, 10, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		b.engine("d0").setDown(true)
		time.Sleep(5 * time.Second)
		for i := range 10 {
			if grant := mustAcquire(t, b.keeper, place("a", fmt.Sprint(i), 1)); grant.Decode == "d0" {
				t.Fatal("granted an engine whose calls fail")
			}
		}
		if got := b.counters.Int(defTookOut).Value(); got != 1 {
			t.Errorf("taken out %d times, want 1", got)
		}
		b.engine("d0").setDown(false)
		mustAcquire(t, b.keeper, place("a", "last", 1))
	})
}

func TestFailedGrantsRestAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{2, 1, 10, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		for i := range failedGrantBound {
			grant := mustAcquire(t, b.keeper, place("a", fmt.Sprint(i), 1))
			_ = b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grant, Reason: domain.ReleaseFailed}})
		}
		began := time.Now()
		mustAcquireInTime(t, b.keeper, place("a", "next", 1), 10*time.Second)
		if waited := time.Since(began); waited < restTime {
			t.Errorf("granted after %v, want a rest of %v", waited, restTime)
		}
	})
}

// TestLeavingUpstreamIsQuiet checks that an upstream that the host list shows as
// leaving receives nothing new.
func TestLeavingUpstreamIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 2, 4, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, place("a", "0", 1))
		b.hosts.leave("d0")
		time.Sleep(hostListInterval + time.Millisecond)
		for i := range 3 {
			if grant := mustAcquire(t, b.keeper, place("b", fmt.Sprint(i), 1)); grant.Decode == "d0" {
				t.Error("granted a leaving upstream")
			}
		}
	})
}

// TestDeadGateIsCanceledOnTheEngine checks that the place of a grant that is not
// renewed becomes free only after the engine acknowledged the cancel.
func TestDeadGateIsCanceledOnTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		req := place("a", "1", 1)
		mustAcquire(t, b.keeper, req)
		b.engine("d0").run(decoding(req))
		began := time.Now()
		mustAcquireInTime(t, b.keeper, place("b", "1", 1), 10*time.Second)
		if !b.engine("d0").wasCanceled(req.ID) {
			t.Error("place granted again without a cancel on the engine")
		}
		if waited := time.Since(began); waited < grantTerm || waited > 10*time.Second {
			t.Errorf("place free after %v, want between the term and 10 s", waited)
		}
	})
}

// TestKeeperAndGateDieTogether checks that the next keeper frees the memory
// within 10 s.
func TestKeeperAndGateDieTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 1, 100}, ReserveThenPrefill{})
		stop := b.start(t, b.keeper)
		req := place("a", "1", 1)
		mustAcquire(t, b.keeper, req)
		b.engine("d0").run(decoding(req))
		stop()
		b.members.set(member("h2"))
		second := b.newKeeper("h2", nil)
		defer b.start(t, second)()
		mustAcquireInTime(t, second, place("b", "1", 1), 10*time.Second)
		if !b.engine("d0").wasCanceled(req.ID) {
			t.Error("the attempt of the dead gate still holds memory")
		}
	})
}

// leave marks the bench's own host as leaving and adds other members.
func (b *bench) leave(others ...domain.Member) {
	self := member("h1")
	self.State = domain.MemberLeaving
	b.members.set(append(others, self)...)
}

func TestHandoverStopsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, place("a", "1", 1))
		waiting := make(chan error)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, place("a", "2", 1))
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
		if _, err := b.keeper.Acquire(t.Context(), testGroup, place("a", "3", 1)); !errors.Is(err, ports.ErrNotKeeper) {
			t.Errorf("new request got %v, want ErrNotKeeper", err)
		}
	})
}

// TestLastHostGrantsUntilItsEnd checks that a leaving host keeps its groups where
// no other host is alive, so that a planned stop of all hosts cuts off no request
// that waits for a place.
func TestLastHostGrantsUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 1, 100}, nil)
		defer b.start(t, b.keeper)()
		held := mustAcquire(t, b.keeper, place("a", "1", 1))
		waiting := make(chan error)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, place("a", "2", 1))
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
			t.Errorf("waiting request got %v, want the place that became free", err)
		}
	})
}
