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

func TestAnswerPassesThroughPrefillTransferAndDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		var a answer
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		settle(t, r)
		if got := r.keeper.reasons(); !slices.Equal(got, []domain.ReleaseReason{domain.ReleaseDone}) {
			t.Fatalf("releases: %v", got)
		}
		if waste := r.fabric.Ledger().Prefills(); waste.Wasted != 0 {
			t.Fatalf("%d prefill tokens were wasted", waste.Wasted)
		}
	})
}

// A keeper may answer at once that a promised place is not free yet. The gate must not
// ask again without a pause.
func TestPromisedPlaceIsAskedForNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const promised, most = 300 * time.Millisecond, 1000
		r := newRig(t, testTokens, engine.FrameFaults{})
		r.keeper.promiseUntil, r.keeper.mostPromises = time.Now().Add(promised), most
		var a answer
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		settle(t, r)
		if n := len(r.keeper.asked()); n > most/10 {
			t.Fatalf("the keeper was asked %d times in %s", n, promised)
		}
	})
}

func TestFramesAreDeliveredOnceAndInOrder(t *testing.T) {
	faults := engine.FrameFaults{LatePercent: 10, Late: 300 * time.Millisecond, DoubledPercent: 20, SwappedPercent: 20}
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, faults)
		var a answer
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		settle(t, r)
	})
}

func TestCallerGoneFreesMemoryAtEveryStage(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, testTokens, engine.FrameFaults{})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(after, cancel)
				var a answer
				err := r.gate.Complete(ctx, request("r1", 1), a.deliver)
				checkRefusal(t, err, domain.RefusalCanceled)
				settle(t, r)
			})
		})
	}
}

func TestCallerThatTakesNoFramesIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		a := answer{onEach: func(n int) error {
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
		settle(t, r)
	})
}

func TestAnswerGoesOnElsewhereWhenTheDecodeUpstreamDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		a := answer{onEach: func(n int) error {
			if n == testTokens/2 {
				r.engines["d1"].Kill()
			}
			return nil
		}}
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		r.engines["d1"].Restart()
		settle(t, r)
		if !slices.Equal(r.quarantine.crashed, []domain.UpstreamID{"d1"}) {
			t.Fatalf("crashes recorded: %v", r.quarantine.crashed)
		}
		if last := r.keeper.asked()[1]; !slices.Contains(last.Avoid, "d1") || last.FirstTokenLeft != 0 {
			t.Fatalf("second place request: %+v", last)
		}
	})
}

func TestPrefillUpstreamDeathIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		r.engines["p1"].Kill()
		var a answer
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		r.engines["p1"].Restart()
		settle(t, r)
	})
}

func TestStalledTransferIsRetriedThenRedoneElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		r.fabric.AddStall(engine.Stall{Target: "d1", Until: time.Now().Add(time.Minute)})
		var a answer
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, testTokens)
		settle(t, r)
		if n := len(r.keeper.asked()); n != 2 {
			t.Fatalf("%d place requests, want 2", n)
		}
	})
}

func TestResendSupersedesTheEarlierAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		var first, second answer
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
		second.checkWhole(t, testTokens)
		settle(t, r)
	})
}

func TestPeerSupersedesOnlyOlderAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		var a answer
		firstErr := make(chan error, 1)
		go func() { firstErr <- r.gate.Complete(t.Context(), request("r1", 1), a.deliver) }()
		time.Sleep(500 * time.Millisecond)
		key := request("r1", 1).Key()
		current := r.keeper.asked()[0].ID.Attempt
		if found, err := r.gate.Supersede(t.Context(), key, current); found || err != nil {
			t.Fatalf("superseded by itself: %v, %v", found, err)
		}
		if found, err := r.gate.Supersede(t.Context(), key, current+1); !found || err != nil {
			t.Fatalf("not superseded by a newer attempt: %v, %v", found, err)
		}
		checkRefusal(t, <-firstErr, domain.RefusalSuperseded)
		settle(t, r)
	})
}

func TestContinuedAnswerStartsAfterTheReceivedText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		c := request("r1", 2)
		c.DeliveredTokens = 10
		for n := 1; n <= c.DeliveredTokens; n++ {
			c.Delivered += engine.AnswerTo(testPrompt).Token(n)
		}
		var a answer
		if err := r.gate.Complete(t.Context(), c, a.deliver); err != nil {
			t.Fatal(err)
		}
		if first := a.frames[0].Number; first != 11 || len(a.frames) != testTokens-10 {
			t.Fatalf("first frame %d of %d", first, len(a.frames))
		}
		settle(t, r)
	})
}

func TestRefusalOfTheKeeperDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		r.keeper.refusal = domain.Refuse(domain.RefusalLate, "too late", "retry")
		var a answer
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

// TestRefusalOfAResendMayHaveRun checks that a resend is not told that the request
// did not run, as an earlier send may have run elsewhere.
func TestRefusalOfAResendMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, testTokens, engine.FrameFaults{})
		r.quarantine.refusing = true
		for attempt, want := range map[int]domain.Ran{1: domain.RanNo, 2: domain.RanUnknown} {
			var a answer
			err := r.gate.Complete(t.Context(), request("r1", attempt), a.deliver)
			if refusal := checkRefusal(t, err, domain.RefusalQuarantined); refusal.Ran != want {
				t.Errorf("attempt %d: ran is %s, want %s", attempt, refusal.Ran, want)
			}
		}
	})
}

func TestLostGrantLeadsToANewAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4*testTokens, engine.FrameFaults{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.gate.Run(ctx) }()
		r.keeper.lost = []domain.GrantID{"firm-a/r1"}
		a := answer{onEach: func(int) error {
			if len(r.keeper.asked()) > 1 {
				r.keeper.mu.Lock()
				r.keeper.lost = nil
				r.keeper.mu.Unlock()
			}
			return nil
		}}
		if err := r.gate.Complete(t.Context(), request("r1", 1), a.deliver); err != nil {
			t.Fatal(err)
		}
		a.checkWhole(t, 4*testTokens)
		settle(t, r)
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

// TestCancelForAnotherHost checks that a gate cancels at an upstream of its own
// tables for a host that does not reach it, and says so where it has no such row.
func TestCancelForAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 10, engine.FrameFaults{})
		id := domain.AttemptID{Caller: "firm-a", Request: "r", Attempt: 1}
		_, err := r.engines["p1"].Prefill(t.Context(), ports.PrefillRequest{ID: id, Model: testModel, Prompt: testPrompt, MaxTokens: 10})
		if err != nil || r.held() != 1 {
			t.Fatalf("prefill: %v, %d held", err, r.held())
		}
		for _, wrong := range [][2]string{{"drafting", "p9"}, {"other", "p1"}} {
			err := r.gate.Cancel(t.Context(), domain.PoolName(wrong[0]), domain.UpstreamID(wrong[1]), id)
			var engineErr *ports.EngineError
			if !errors.As(err, &engineErr) || engineErr.Kind != ports.EngineInvalid || r.held() != 1 {
				t.Errorf("cancel at %v: %v", wrong, err)
			}
		}
		if err := r.gate.Cancel(t.Context(), "drafting", "p1", id); err != nil || r.held() != 0 {
			t.Errorf("cancel: %v, %d held", err, r.held())
		}
	})
}
