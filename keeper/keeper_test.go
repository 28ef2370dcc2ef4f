package keeper

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

func mustAcquire(t *testing.T, k *Keeper, req domain.SlotRequest) domain.Grant {
	t.Helper()
	grant, err := k.Acquire(t.Context(), testGroup, req)
	if err != nil {
		t.Fatalf("acquire %v: %v", req.ID, err)
	}
	return grant
}

func wantRefusal(t *testing.T, err error, kind domain.RefusalKind) *domain.Refusal {
	t.Helper()
	refusal, ok := domain.AsRefusal(err)
	if !ok || refusal.Kind != kind {
		t.Fatalf("got %v, want refusal %s", err, kind)
	}
	return refusal
}

func release(t *testing.T, k *Keeper, grant domain.Grant) {
	t.Helper()
	err := k.Release(t.Context(), testGroup, []domain.Release{{Grant: grant, Reason: domain.ReleaseDone, OutputTokens: 50}})
	if err != nil {
		t.Fatal(err)
	}
}

func TestGrantsAreLimitedToSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 2, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		var grants []domain.Grant
		for i := range 4 {
			grants = append(grants, mustAcquire(t, b.keeper, slotRequest("a", fmt.Sprint(i), 1)))
		}
		began := time.Now()
		if _, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "5", 1)); !errors.Is(err, ports.ErrStillQueued) {
			t.Fatalf("a fifth request got %v, want ErrStillQueued", err)
		}
		if waited := time.Since(began); waited != acquireTimeout {
			t.Errorf("the call took %v, want %v", waited, acquireTimeout)
		}
		go func() {
			time.Sleep(time.Second)
			release(t, b.keeper, grants[0])
		}()
		next := mustAcquire(t, b.keeper, slotRequest("a", "5", 1))
		if next.Decode != grants[0].Decode {
			t.Errorf("granted %s, want the released slot on %s", next.Decode, grants[0].Decode)
		}
	})
}

func TestRepeatedAcquireReturnsSameGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 2, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		first := mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		again := mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		if first.ID != again.ID {
			t.Errorf("the same attempt received grants %s and %s", first.ID, again.ID)
		}
		other := slotRequest("a", "1", 1)
		other.Holder = "g2"
		_, err := b.keeper.Acquire(t.Context(), testGroup, other)
		wantRefusal(t, err, domain.RefusalDuplicate)
	})
}

func TestUnrenewedGrantExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 2, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		kept := mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		mustAcquire(t, b.keeper, slotRequest("a", "2", 1))
		for range 4 {
			time.Sleep(2 * time.Second)
			if lost, err := b.keeper.Renew(t.Context(), testGroup, "g1", []domain.Grant{kept}); err != nil || len(lost) > 0 {
				t.Fatalf("renewal lost %v, %v", lost, err)
			}
		}
		mustAcquire(t, b.keeper, slotRequest("a", "3", 1))
	})
}

func TestAcquireFailsAfterGroupMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		b.members.set(member("h2"))
		time.Sleep(time.Second)
		_, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "2", 1))
		if !errors.Is(err, ports.ErrNotKeeper) {
			t.Errorf("got %v, want ErrNotKeeper", err)
		}
	})
}

func TestWaitingLimitPerCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, slotRequest("a", "0", 1))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 2 {
			req := slotRequest("a", fmt.Sprint("w", i), 1)
			req.MaxWaiting = 2
			go func() { _, _ = b.keeper.Acquire(ctx, testGroup, req) }()
		}
		synctest.Wait()
		req := slotRequest("a", "w2", 1)
		req.MaxWaiting = 2
		_, err := b.keeper.Acquire(t.Context(), testGroup, req)
		if r := wantRefusal(t, err, domain.RefusalQueueFull); r.Ran != domain.RanNo {
			t.Errorf("ran %s, want no", r.Ran)
		}
	})
}

func TestInteractiveRequestIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, slotRequest("a", "0", 1))
		began := time.Now()
		_, err := b.keeper.Acquire(t.Context(), testGroup, interactive(slotRequest("a", "1", 1), 500*time.Millisecond))
		r := wantRefusal(t, err, domain.RefusalLate)
		if r.Ran != domain.RanNo || r.RetryAfter <= 0 || time.Since(began) != 0 {
			t.Errorf("refusal %+v after %v, want ran no and a retry time at once", r, time.Since(began))
		}
	})
}

func TestAbandonedWaitingRequestIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		held := mustAcquire(t, b.keeper, slotRequest("a", "0", 1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.keeper.Acquire(ctx, testGroup, slotRequest("a", "1", 1))
		if !errors.Is(err, ports.ErrStillQueued) {
			t.Fatalf("got %v, want ErrStillQueued", err)
		}
		time.Sleep(waiterTTL + time.Second)
		release(t, b.keeper, held)
		if got := b.counters.Int(defDropped).Value(); got != 1 {
			t.Errorf("%d waiting requests dropped, want 1", got)
		}
		if got := b.counters.Int(defWaiting).Value(); got != 0 {
			t.Errorf("%d requests waiting, want 0", got)
		}
	})
}

// TestQueueIsServedAfterItsHeadIsRefused guards against a request that stays
// queued behind one of the same caller that did not fit, although that one was
// refused.
func TestQueueIsServedAfterItsHeadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 4, 8}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		mustAcquire(t, b.keeper, withPieces(slotRequest("b", "held", 1), 5))
		refused := make(chan time.Time, 1)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, interactive(withPieces(slotRequest("a", "large", 1), 7), 4*time.Second))
			wantRefusal(t, err, domain.RefusalLate)
			refused <- time.Now()
		}()
		synctest.Wait()
		mustAcquire(t, b.keeper, interactive(withPieces(slotRequest("a", "small", 1), 1), 9*time.Second))
		if at := <-refused; !time.Now().Equal(at) {
			t.Errorf("granted %v after the request ahead was refused", time.Since(at))
		}
	})
}
