package keeper

import (
	"fmt"
	"testing"
	"testing/synctest"

	"greengagespoke/domain"
)

// TestFailedPairIsNotGrantedAgain checks that after a failed grant both
// upstreams are used with other upstreams, and that neither is taken out of
// rotation.
func TestFailedPairIsNotGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{2, 2, 10, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		failed := mustAcquire(t, b.keeper, slotRequest("a", "failed", 1))
		err := b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: failed, Reason: domain.ReleaseFailed}})
		if err != nil {
			t.Fatal(err)
		}
		used := make(map[domain.UpstreamID]bool)
		for i := range 12 {
			grant := mustAcquire(t, b.keeper, slotRequest("a", fmt.Sprint(i), 1))
			if grant.Prefill == failed.Prefill && grant.Decode == failed.Decode {
				t.Fatalf("grant %d is for the pair that failed", i)
			}
			used[grant.Prefill] = true
			used[grant.Decode] = true
		}
		if len(used) != 4 {
			t.Errorf("%d upstreams used, want all 4", len(used))
		}
	})
}

// TestFailingPrefillDoesNotTakeOutDecodes checks that only the prefill upstream
// is taken out of rotation if all its grants fail.
func TestFailingPrefillDoesNotTakeOutDecodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{2, 2, 20, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		failures := 0
		for i := range 30 {
			grant := mustAcquire(t, b.keeper, slotRequest("a", fmt.Sprint(i), 1))
			reason := domain.ReleaseDone
			if grant.Prefill == "p0" {
				reason = domain.ReleaseFailed
				failures++
			}
			_ = b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grant, Reason: reason, OutputTokens: 10}})
		}
		if failures == 0 || failures > maxFailedGrants {
			t.Errorf("%d grants went to the bad prefill upstream, want 1 to %d", failures, maxFailedGrants)
		}
	})
}
