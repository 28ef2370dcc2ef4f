package retry

import "testing"

func TestBudgetLimitsRetriesToShareOfSuccesses(t *testing.T) {
	var b Budget
	for i := range maxSavedRetries {
		if !b.Take() {
			t.Fatalf("retry %d of the initial budget was denied", i+1)
		}
	}
	if b.Take() {
		t.Fatal("a retry beyond the initial budget was allowed without a success")
	}
	const successes, share = 50, 10
	for range successes {
		b.Success(share)
	}
	allowed := 0
	for b.Take() {
		allowed++
	}
	if want := successes * share / 100; allowed != want {
		t.Fatalf("allowed %d retries after %d successes at %d%%, want %d", allowed, successes, share, want)
	}
}
