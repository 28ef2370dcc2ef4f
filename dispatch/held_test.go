package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/promptcache"
	"greengagespoke/traffic"
)

// A beginning that more requests share than one engine can read must be held by several engines.
// Guards against a queue at the first engine that has it.
func TestPopularBeginningIsHeldBySeveralEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _, gates := newReplay(t, weighHeld)
		var running sync.WaitGroup
		for number := range 600 {
			running.Go(func() { r.serve(gates[number%replayHosts], 0, number) })
			time.Sleep(8 * time.Millisecond)
		}
		running.Wait()
		slices.Sort(r.waits)
		late := r.waits[len(r.waits)*99/100]
		t.Logf("%d engines held the beginning, %d tokens read, 99th percentile %s", len(r.holders), r.read, late)
		// One engine reads 26 of the 125 requests per second.
		if len(r.holders) < 5 || late > time.Second || r.read > 600*1200 {
			t.Errorf("%d engines held the beginning, %d tokens read, 99th percentile %s", len(r.holders), r.read, late)
		}
	})
}

// sessionRequest returns a request of which 2,600 of 3,000 tokens belong to a session.
func sessionRequest(shared int, own uint64) *traffic.Request {
	req := newRequest("/draft/x")
	req.PromptParts = []traffic.PromptPart{{ID: 1, Tokens: shared}, {ID: own, Tokens: req.PromptTokens - shared}}
	return req
}

// A decode engine that holds the prompt is preferred, but one that is full costs no request its
// place. Guards against waiting for the engine that holds it.
func TestFullEngineThatHoldsThePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		for i := range 60 {
			tokens := 1000 + 40*i
			f.gate.prompts.Observe(&traffic.Upstream{Service: testService, Role: domain.RoleDecode}, tokens,
				heldChoice{}.Weight, 40*time.Millisecond+time.Duration(tokens)*20*time.Microsecond, time.Now())
		}
		var last domain.UpstreamID
		f.streamRequest = func(up *traffic.Upstream, _ *traffic.Request, _ traffic.SendOptions) (traffic.Stream, error) {
			last = up.ID
			return newFakeStream(3, nil), nil
		}
		send := func(own uint64) domain.UpstreamID {
			caller := &fakeCaller{}
			f.gate.Serve(context.Background(), sessionRequest(2600, own), caller)
			if !caller.started || caller.aborted {
				t.Fatalf("not answered: %v", caller.refusal)
			}
			return last
		}
		first := send(100)
		for i := range uint64(20) {
			if got := send(101 + i); got != first {
				t.Fatalf("request %d went to %s, %s holds its prompt", i, got, first)
			}
		}
		f.reserve = func(up *traffic.Upstream, _ int) error {
			if up.ID == first {
				return errRejected
			}
			return nil
		}
		began := time.Now()
		if got := send(200); got == first || time.Since(began) > 100*time.Millisecond {
			t.Errorf("went to %s after %s, %s is full", got, time.Since(began), first)
		}
		if f.gate.metrics.heldDecodeTokens.Value() < 20*2600 || f.gate.metrics.heldChoices.Value() == 0 {
			t.Errorf("%d tokens and %d choices counted", f.gate.metrics.heldDecodeTokens.Value(), f.gate.metrics.heldChoices.Value())
		}
	})
}

// With 200 shared tokens of 3,000 no choice, no probe and no learned latency may differ from those
// without knowledge of what engines hold.
func TestSmallSharedBeginningChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for shared, same := range map[int]bool{200: true, 2600: false} {
			f := newFixture(t, 1)
			var probed []int
			f.reserveIdle = func(_ *traffic.Upstream, tokens int) error {
				probed = append(probed, tokens)
				return nil
			}
			f.prefill = func(*traffic.Upstream) error {
				time.Sleep(190 * time.Millisecond)
				return nil
			}
			for own := range uint64(300) {
				f.gate.Serve(context.Background(), sessionRequest(shared, 100+own), &fakeCaller{})
			}
			full := !slices.ContainsFunc(probed, func(tokens int) bool { return tokens != testMemory-maxIdleTokens })
			if unchanged := full && f.gate.metrics.heldChoices.Value() == 0; unchanged != same {
				t.Errorf("%d shared tokens: choices unchanged %t, want %t", shared, unchanged, same)
			}
			if least := slices.Min(probed); !same && least >= testMemory-maxIdleTokens-shared {
				t.Errorf("the probes of engines that hold the prompt leave out %d tokens", testMemory-maxIdleTokens-least)
			}
			if f.gate.metrics.heldPrefillTokens.Value() == 0 {
				t.Errorf("%d shared tokens: none counted", shared)
			}
		}
	})
}

// A prompt does not count as held if the engine did not run the call or may have ended. Guards against
// following prompts that no engine has, and against forgetting them when callers leave.
func TestFailedPrefillsAreNotHeld(t *testing.T) {
	for name, c := range map[string]struct {
		err  *traffic.CallError
		held bool
	}{
		"rejected": {errRejected, false},
		"not sent": {errConnectionRefused, false},
		"lost":     {&traffic.CallError{Effect: traffic.EffectUnknown, ConnectionLost: true, Err: errReset}, false},
		"silent":   {errReset, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			var up *traffic.Upstream
			f.prefill = func(u *traffic.Upstream) error { up = u; return c.err }
			req := sessionRequest(2600, 100)
			f.gate.Serve(context.Background(), req, &fakeCaller{})
			held := f.gate.prompts.Weigh([]*traffic.Upstream{up}, testMemory, req.PromptParts, req.PromptTokens, time.Now()) != nil
			if held != c.held {
				t.Errorf("%s: held %t, want %t", name, held, c.held)
			}
		})
	}
}

// Calls that were short because of what the engine holds must not make it count as a fast one.
func TestHeldPromptsDoNotMakeEnginesFast(t *testing.T) {
	h := heldChoice{Weight: promptcache.Weight{Held: 5400, Worth: true, Call: 200 * time.Millisecond}}
	if h.wholeCall(40*time.Millisecond) != h.Call || h.wholeCall(time.Second) != time.Second || h.processed(6000) != 600 {
		t.Errorf("%s and %d tokens for a call of 40 ms", h.wholeCall(40*time.Millisecond), h.processed(6000))
	}
	if h.Worth = false; h.wholeCall(40*time.Millisecond) != 40*time.Millisecond || h.processed(6000) != 6000 {
		t.Error("a call that was not chosen for what is held counts as another one")
	}
}

// Prompts that were read for nothing are counted once each, by what made them useless. Guards
// against a cause that hides in another one's count.
func TestPromptsReadForNothingByCause(t *testing.T) {
	rejects := func(err error) func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
		return func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) { return nil, err }
	}
	lost := &traffic.CallError{Effect: traffic.EffectUnknown, ConnectionLost: true, Err: errors.New("reset")}
	for name, c := range map[string]struct {
		prepare func(f *fixture, cancel context.CancelFunc)
		want    map[wasteCause]int64
	}{
		"none": {func(*fixture, context.CancelFunc) {}, nil},
		"caller gone": {func(f *fixture, cancel context.CancelFunc) {
			f.prefill = func(*traffic.Upstream) error { cancel(); return nil }
		}, map[wasteCause]int64{wasteCallerGone: 1}},
		// A rejected stream is sent once more, with a prompt that is read again.
		"rejected": {func(f *fixture, _ context.CancelFunc) { f.stream = rejects(errRejected) }, map[wasteCause]int64{wasteRejected: 2}},
		// The fixture's prompts may be used again for no time.
		"expired, then no engine": {func(f *fixture, _ context.CancelFunc) { f.stream = rejects(errMisdirected) }, map[wasteCause]int64{wasteExpired: 1, wasteEngineGone: 1}},
		"answer lost":             {func(f *fixture, _ context.CancelFunc) { f.stream = rejects(errReset) }, map[wasteCause]int64{wasteAnswerLost: 1}},
		"slot lost": {func(f *fixture, _ context.CancelFunc) {
			f.prefill = func(*traffic.Upstream) error { time.Sleep(reservationTTL); return nil }
			f.stream = rejects(errRejected)
		}, map[wasteCause]int64{wasteSlotLost: 2}},
		"prefill engine lost": {func(f *fixture, _ context.CancelFunc) {
			f.prefill = func(*traffic.Upstream) error { f.prefill = func(*traffic.Upstream) error { return nil }; return lost }
		}, map[wasteCause]int64{wasteEngineGone: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c.prepare(f, cancel)
				f.gate.Serve(ctx, newRequest("/draft/x"), &fakeCaller{})
				total := int64(0)
				for cause, counter := range f.gate.metrics.wastedFor {
					total += counter.Value()
					if got := counter.Value(); got != c.want[wasteCause(cause)] {
						t.Errorf("cause %d counted %d times, want %d", cause, got, c.want[wasteCause(cause)])
					}
				}
				if got := f.gate.metrics.prefillsWasted.Value(); got != total {
					t.Errorf("%d prompts counted, %d by cause", got, total)
				}
			})
		})
	}
}
