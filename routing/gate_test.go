package routing_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
)

const testTokens = 40

func TestCompleteRunsPrefillTransferAndDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		drainGate(t, r)
		if got := r.keeper.releaseReasons(); !slices.Equal(got, []domain.ReleaseReason{domain.ReleaseDone}) {
			t.Fatalf("releases: %v", got)
		}
		if waste := r.fabric.Ledger().Prefills(); waste.Wasted != 0 {
			t.Fatalf("%d prefill tokens were wasted", waste.Wasted)
		}
	})
}

// A keeper may answer immediately that a promised slot is not free yet.
// Without a delay between its calls, the gate would flood the keeper until the
// slot is free.
func TestPromisedSlotIsPolledWithDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const promiseDuration, maxPromises = 300 * time.Millisecond, 1000
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		r.keeper.promiseUntil, r.keeper.maxPromises = time.Now().Add(promiseDuration), maxPromises
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		drainGate(t, r)
		if n := len(r.keeper.acquireRequests()); n > maxPromises/10 {
			t.Fatalf("the keeper was asked %d times in %s", n, promiseDuration)
		}
	})
}

func TestFramesAreDeliveredOnceAndInOrder(t *testing.T) {
	faults := engine.FrameFaults{LatePercent: 10, Late: 300 * time.Millisecond, DoubledPercent: 20, SwappedPercent: 20}
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, faults)
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		drainGate(t, r)
	})
}

func TestDisconnectedCallerFreesMemoryAtEveryStage(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestGate(t, testTokens, engine.FrameFaults{})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(after, cancel)
				var a responseRecorder
				err := r.gate.Complete(ctx, request("r1", 1), a.deliver)
				checkRefusal(t, err, domain.RefusalCanceled)
				drainGate(t, r)
			})
		})
	}
}

func TestDeliveryErrorCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		a := responseRecorder{onFrame: func(n int) error {
			if n == 5 {
				return errors.New("connection reset")
			}
			return nil
		}}
		err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver)
		refusal := checkRefusal(t, err, domain.RefusalCanceled)
		if refusal.Ran != domain.RanYes {
			t.Fatalf("ran is %s", refusal.Ran)
		}
		drainGate(t, r)
	})
}

func TestDecodeCrashContinuesOnAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		a := responseRecorder{onFrame: func(n int) error {
			if n == testTokens/2 {
				r.engines["d1"].Kill()
			}
			return nil
		}}
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		r.engines["d1"].Restart()
		drainGate(t, r)
		if !slices.Equal(r.quarantine.crashed, []domain.UpstreamID{"d1"}) {
			t.Fatalf("crashes recorded: %v", r.quarantine.crashed)
		}
		if last := r.keeper.acquireRequests()[1]; !slices.Contains(last.Avoid, "d1") || last.FirstTokenRemaining != 0 {
			t.Fatalf("second place request: %+v", last)
		}
	})
}

func TestPrefillFailureIsRetriedOnAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		r.engines["p1"].Kill()
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		r.engines["p1"].Restart()
		drainGate(t, r)
	})
}

func TestStalledTransferIsRetriedThenMovedToAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		r.fabric.AddStall(engine.Stall{Target: "d1", Until: time.Now().Add(time.Minute)})
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, testTokens)
		drainGate(t, r)
		if n := len(r.keeper.acquireRequests()); n != 2 {
			t.Fatalf("%d place requests, want 2", n)
		}
	})
}

func TestResendSupersedesTheEarlierAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		var first, second responseRecorder
		firstErr := make(chan error, 1)
		go func() { firstErr <- r.gate.Complete(t.Context(), request("r1", 1), first.deliver) }()
		time.Sleep(500 * time.Millisecond)
		refusal := checkRefusal(t, r.gate.Complete(t.Context(), request("r1", 1), second.deliver), domain.RefusalDuplicate)
		if refusal.Ran != domain.RanUnknown {
			t.Errorf("duplicate of a running request says ran: %s", refusal.Ran)
		}
		if err := r.gate.Complete(t.Context(), request("r1", 2), second.deliver); err != nil {
			t.Fatal(err)
		}
		checkRefusal(t, <-firstErr, domain.RefusalSuperseded)
		second.checkComplete(t, testTokens)
		drainGate(t, r)
	})
}

func TestPeerSupersedesOnlyOlderAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		var a responseRecorder
		firstErr := make(chan error, 1)
		go func() { firstErr <- r.gate.Complete(t.Context(), request("r1", 1), a.deliver) }()
		time.Sleep(500 * time.Millisecond)
		key := request("r1", 1).Key()
		current := r.keeper.acquireRequests()[0].ID.Attempt
		if found, err := r.gate.Supersede(t.Context(), key, current); found || err != nil {
			t.Fatalf("superseded by itself: %v, %v", found, err)
		}
		if found, err := r.gate.Supersede(t.Context(), key, current+1); !found || err != nil {
			t.Fatalf("not superseded by a newer attempt: %v, %v", found, err)
		}
		checkRefusal(t, <-firstErr, domain.RefusalSuperseded)
		drainGate(t, r)
	})
}

func TestContinuationStartsAfterDeliveredText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		c := request("r1", 2)
		c.DeliveredTokens = 10
		for n := 1; n <= c.DeliveredTokens; n++ {
			c.Delivered += engine.AnswerTo(testPrompt).Token(n)
		}
		var a responseRecorder
		if err := r.gate.Complete(t.Context(), c, a.deliver); err != nil {
			t.Fatal(err)
		}
		if first := a.frames[0].Number; first != 11 || len(a.frames) != testTokens-10 {
			t.Fatalf("first frame %d of %d", first, len(a.frames))
		}
		drainGate(t, r)
	})
}

func TestKeeperRefusalReportsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		r.keeper.refusal = domain.Refuse(domain.RefusalLate, "too late", "retry")
		var a responseRecorder
		refusal := checkRefusal(t, r.gate.Complete(t.Context(), request("r1", 1), a.deliver), domain.RefusalLate)
		if refusal.Ran != domain.RanNo {
			t.Fatalf("ran is %s", refusal.Ran)
		}
		for id, e := range r.engines {
			if e.Counts().Prefills != 0 {
				t.Fatalf("%s ran a prefill for a refused request", id)
			}
		}
	})
}

// TestResendRefusalReportsRanUnknown checks that the refusal of a resend does
// not say that the request did not run, as an earlier attempt may have run on
// another host.
func TestResendRefusalReportsRanUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, testTokens, engine.FrameFaults{})
		r.quarantine.rejectAll = true
		for attempt, want := range map[int]domain.Ran{1: domain.RanNo, 2: domain.RanUnknown} {
			var a responseRecorder
			err := r.gate.Complete(t.Context(), request("r1", attempt), a.deliver)
			if refusal := checkRefusal(t, err, domain.RefusalQuarantined); refusal.Ran != want {
				t.Errorf("attempt %d: ran is %s, want %s", attempt, refusal.Ran, want)
			}
		}
	})
}

func TestLostGrantStartsNewAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, 4*testTokens, engine.FrameFaults{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.gate.Run(ctx) }()
		r.keeper.lostGrants = []domain.GrantID{"firm-a/r1"}
		a := responseRecorder{onFrame: func(int) error {
			if len(r.keeper.acquireRequests()) > 1 {
				r.keeper.mu.Lock()
				r.keeper.lostGrants = nil
				r.keeper.mu.Unlock()
			}
			return nil
		}}
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkComplete(t, 4*testTokens)
		drainGate(t, r)
	})
}

func checkRefusal(t *testing.T, err error, kind domain.RefusalKind) *domain.Refusal {
	t.Helper()
	refusal, ok := domain.AsRefusal(err)
	if !ok || refusal.Kind != kind {
		t.Fatalf("error is %v, want a refusal of kind %s", err, kind)
	}
	return refusal
}

// TestCancelForAnotherHost checks that a gate cancels an attempt for a host
// that cannot reach the upstream, and returns an error if its tables do not
// have the upstream.
func TestCancelForAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestGate(t, 10, engine.FrameFaults{})
		id := domain.AttemptID{Caller: "firm-a", Request: "r", Attempt: 1}
		_, err := r.engines["p1"].Prefill(t.Context(), ports.PrefillRequest{ID: id, Model: testModel, Prompt: testPrompt, MaxTokens: 10})
		if err != nil || r.heldAttempts() != 1 {
			t.Fatalf("prefill: %v, %d held", err, r.heldAttempts())
		}
		for _, wrong := range [][2]string{{"drafting", "p9"}, {"other", "p1"}} {
			err := r.gate.Cancel(t.Context(), domain.PoolName(wrong[0]), domain.UpstreamID(wrong[1]), id)
			var engineErr *ports.EngineError
			if !errors.As(err, &engineErr) || engineErr.Kind != ports.EngineInvalid || r.heldAttempts() != 1 {
				t.Errorf("cancel at %v: %v", wrong, err)
			}
		}
		if err := r.gate.Cancel(t.Context(), "drafting", "p1", id); err != nil || r.heldAttempts() != 0 {
			t.Errorf("cancel: %v, %d held", err, r.heldAttempts())
		}
	})
}
