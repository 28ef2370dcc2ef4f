package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/quarantine"
	"greengagespoke/traffic"
)

var errConnectionLost = &traffic.CallError{Effect: traffic.EffectUnknown, ConnectionLost: true, Err: errors.New("unexpected EOF")}

// A crash must be told apart from a lost connection and from a planned end.
func TestCrashIsToldApartFromLostConnection(t *testing.T) {
	for name, c := range map[string]struct {
		err       error
		listening bool
		asked     error
		draining  bool
		crashes   int64
		unknown   int64
	}{
		"crashed":        {err: errConnectionLost, crashes: 1},
		"still there":    {err: errConnectionLost, listening: true},
		"out of reach":   {err: errConnectionLost, asked: errors.New("timeout"), unknown: 1},
		"planned end":    {err: errConnectionLost, draining: true},
		"no answer":      {err: errNoResponse},
		"other failures": {err: errReset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.call = func(up *traffic.Upstream) (*traffic.Answer, error) {
				if c.draining {
					leaving := *up
					leaving.State = traffic.UpstreamDraining
					f.catalog.Change([]traffic.UpstreamChange{{ID: up.ID, Upstream: &leaving}}, time.Now())
				}
				return nil, c.err
			}
			f.listening = func(*traffic.Upstream) (bool, error) { return c.listening, c.asked }
			req := newRequest("/once/x")
			req.Deadline = req.Arrived.Add(50 * time.Millisecond)
			f.gate.Serve(context.Background(), req, &fakeCaller{})
			if got := f.gate.metrics.crashes.Value(); got != c.crashes {
				t.Errorf("%d crashes counted, want %d", got, c.crashes)
			}
			if got := f.gate.metrics.crashesUnknown.Value(); got != c.unknown {
				t.Errorf("%d unknown crashes counted, want %d", got, c.unknown)
			}
		})
	}
}

// A prompt that crashes the prefill engine must be counted like a request.
func TestCrashOfPrefillEngineIsCounted(t *testing.T) {
	f := newFixture(t, 1)
	f.prefill = func(*traffic.Upstream) error { return errConnectionLost }
	f.listening = func(up *traffic.Upstream) (bool, error) { return up.Role != domain.RolePrefill, nil }
	f.serve("/draft/x", &fakeCaller{})
	if got := f.gate.metrics.crashes.Value(); got == 0 {
		t.Error("no crash was counted")
	}
}

// crashAll makes each upstream that runs a request crash, and replaces it.
func (f *fixture) crashAll() {
	replace := func(up *traffic.Upstream) {
		next := *up
		next.StartedAtMillis++
		f.catalog.Change([]traffic.UpstreamChange{{ID: up.ID, Upstream: &next}}, time.Now())
	}
	f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return nil, errConnectionLost }
	f.fakeUpstreams.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
		return newFakeStreamAfter(opts.LastEventID, 2, errConnectionLost), nil
	}
	f.listening = func(up *traffic.Upstream) (bool, error) {
		replace(up)
		return false, nil
	}
}

// A request that has crashed three upstreams must be refused at once, as not run, on each
// path; other requests must not.
func TestRequestThatCrashedThreeUpstreamsIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/draft/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 1)
			f.crashAll()
			runs := func() int { return f.count("call") + f.count("stream") }
			for range quarantine.DefaultStrikeLimit {
				req := newRequest(path)
				req.Fingerprint = 7
				f.gate.Serve(context.Background(), req, &fakeCaller{})
			}
			if got := runs(); got != quarantine.DefaultStrikeLimit {
				t.Fatalf("the request ran %d times, want %d", got, quarantine.DefaultStrikeLimit)
			}
			caller := &fakeCaller{}
			req := newRequest(path)
			req.Fingerprint = 7
			f.gate.Serve(context.Background(), req, caller)
			if r := caller.refusal; r == nil || r.Kind != domain.RefusalQuarantined || r.Ran != domain.RanNo || r.RetryAfter <= 0 {
				t.Fatalf("refusal %+v, want one of kind quarantined that says the request did not run", r)
			}
			other := newRequest(path)
			other.Fingerprint = 8
			f.gate.Serve(context.Background(), other, &fakeCaller{})
			if runs() == quarantine.DefaultStrikeLimit {
				t.Error("another request was not sent")
			}
		})
	}
}

// A prompt that crashes prefill engines must not be sent to further ones, nor to a decode
// engine, and completing elsewhere must not clear it.
func TestPromptThatCrashesPrefillEnginesIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	f.crashAll()
	f.prefill = func(*traffic.Upstream) error { return errConnectionLost }
	f.fakeUpstreams.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
		return newFakeStream(2, nil), nil
	}
	for range 4 {
		req := newRequest("/draft/x")
		req.Fingerprint = 7
		f.gate.Serve(context.Background(), req, &fakeCaller{})
	}
	if got := f.count("prefill"); got != quarantine.DefaultStrikeLimit {
		t.Errorf("the prompt went to %d prefill engines, want %d", got, quarantine.DefaultStrikeLimit)
	}
}

// A request that completes must be cleared of the crash that another one caused.
func TestRequestThatCompletesIsCleared(t *testing.T) {
	for _, path := range []string{"/once/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 1)
			f.gate.cfg.Quarantine.RecordCrash("p@a/1", []uint64{7})
			req := newRequest(path)
			req.Fingerprint = 7
			f.gate.Serve(context.Background(), req, &fakeCaller{})
			if f.gate.cfg.Quarantine.Suspect(7) {
				t.Error("still a suspect")
			}
		})
	}
}

// Of several requests that were on the same crashed upstreams, only the one that causes
// the third crash must be quarantined; requests without strikes must not wait for them.
func TestThirdCrashQuarantinesItsCauseOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		const culprit, count = 3, 6
		var fingerprints []uint64
		for i := range uint64(count) {
			fingerprints = append(fingerprints, i+1)
		}
		for _, process := range []domain.UpstreamID{"p@a/1", "q@a/1"} {
			f.gate.cfg.Quarantine.RecordCrash(process, fingerprints)
		}
		var mu sync.Mutex
		// lost holds, for each request in flight, whether the upstream has crashed.
		lost := make(map[*traffic.Request]bool)
		f.callRequest = func(req *traffic.Request) (*traffic.Answer, error) {
			mu.Lock()
			lost[req] = false
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if req.Fingerprint == culprit {
				for other := range lost {
					lost[other] = true
				}
			}
			crashed := lost[req]
			delete(lost, req)
			if crashed && req.Fingerprint <= count {
				return nil, errConnectionLost
			}
			return &traffic.Answer{Status: 200}, nil
		}
		f.listening = func(*traffic.Upstream) (bool, error) { return false, nil }
		var callers sync.WaitGroup
		serve := func(fingerprint uint64) *fakeCaller {
			caller := &fakeCaller{}
			callers.Go(func() {
				req := newRequest("/once/x")
				req.Fingerprint = fingerprint
				f.gate.Serve(context.Background(), req, caller)
			})
			return caller
		}
		for _, fingerprint := range fingerprints {
			serve(fingerprint)
		}
		began := time.Now()
		clean := serve(100)
		callers.Wait()
		if clean.answer == nil || time.Since(began) > time.Second {
			t.Errorf("a request without strikes got %+v, all together took %s", clean, time.Since(began))
		}
		for _, fingerprint := range fingerprints {
			if got, want := f.gate.cfg.Quarantine.Check(fingerprint) != nil, fingerprint == culprit; got != want {
				t.Errorf("request %d quarantined: %t, want %t", fingerprint, got, want)
			}
		}
	})
}

// A request whose turn does not come must be refused as not run, not held until its
// deadline.
func TestRequestWhoseTurnDoesNotComeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		for _, process := range []domain.UpstreamID{"p@a/1", "q@a/1"} {
			f.gate.cfg.Quarantine.RecordCrash(process, []uint64{1, 2})
		}
		f.callRequest = func(*traffic.Request) (*traffic.Answer, error) {
			time.Sleep(10 * time.Second)
			return &traffic.Answer{Status: 200}, nil
		}
		first, second := &fakeCaller{}, &fakeCaller{}
		var callers sync.WaitGroup
		for i, caller := range []*fakeCaller{first, second} {
			callers.Go(func() {
				req := newRequest("/once/x")
				req.Fingerprint = uint64(i + 1)
				f.gate.Serve(context.Background(), req, caller)
			})
			synctest.Wait()
		}
		callers.Wait()
		if r := second.refusal; first.answer == nil || r == nil || r.Ran != domain.RanNo || r.RetryAfter <= 0 {
			t.Errorf("answers %+v and %+v, want a response and a refusal that says when to come back", first, second)
		}
	})
}

// An upstream that refused connections for a moment is not taken for crashed when it closes
// another one later, and a success of an earlier attempt does not clear a later crash.
func TestEachLostConnectionIsJudgedByItself(t *testing.T) {
	f := newFixture(t, 1)
	f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return nil, errConnectionLost }
	for _, listening := range []bool{false, true} {
		f.listening = func(*traffic.Upstream) (bool, error) { return listening, nil }
		for range 4 {
			f.serve("/once/x", &fakeCaller{})
		}
		if got := f.gate.metrics.crashes.Value(); got != 4 {
			t.Errorf("%d crashes counted, want the 4 after which nothing listened", got)
		}
	}
	answers := []error{nil, errConnectionLost}
	f.callRequest = func(*traffic.Request) (*traffic.Answer, error) {
		err := answers[0]
		answers = answers[1:]
		return &traffic.Answer{Status: 500}, err
	}
	f.listening = func(*traffic.Upstream) (bool, error) { return false, nil }
	req := newRequest("/again/x")
	req.Fingerprint = 7
	f.gate.Serve(context.Background(), req, &fakeCaller{})
	if !f.gate.cfg.Quarantine.Suspect(7) {
		t.Error("the strike of the second attempt is gone")
	}
}

// A request that shares three crashes with another one runs on the host that decides on it
// alone. It is not refused for long: it may have caused none of them.
func TestUndecidedRequestRunsOnOneHost(t *testing.T) {
	for _, decides := range []bool{true, false} {
		f := newFixture(t, 1)
		f.undecided = !decides
		for _, process := range []domain.UpstreamID{"p@a/1", "q@a/1", "r@a/1"} {
			f.gate.cfg.Quarantine.RecordCrash(process, []uint64{7, 8})
		}
		caller := &fakeCaller{}
		req := newRequest("/once/x")
		req.Fingerprint = 7
		f.gate.Serve(context.Background(), req, caller)
		if decides && caller.answer == nil || !decides && (f.count("call") > 0 || caller.refusal == nil ||
			caller.refusal.Ran != domain.RanNo || caller.refusal.RetryAfter != turnRetryAfter) {
			t.Errorf("host decides: %t; %d calls, answer %+v", decides, f.count("call"), caller)
		}
	}
}

// A request that waits for a slot must be refused as soon as a part of its prompt is known
// to crash upstreams, not only when a slot is free.
func TestWaitingRequestIsRefusedOnceItsPartIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.reserve = func(*traffic.Upstream, int) error { return errRejected }
		req, caller, ended := newRequest("/draft/x"), &fakeCaller{}, make(chan struct{})
		req.Parts = []uint64{7}
		go func() {
			defer close(ended)
			f.gate.Serve(context.Background(), req, caller)
		}()
		for i := range quarantine.DefaultStrikeLimit {
			time.Sleep(300 * time.Millisecond)
			f.gate.cfg.Quarantine.RecordCrash(domain.UpstreamID(fmt.Sprint("p", i)), []uint64{uint64(i + 1)}, 7)
		}
		crashed := time.Now()
		<-ended
		if caller.refusal == nil || caller.refusal.Kind != domain.RefusalQuarantined || caller.refusal.Ran != domain.RanNo {
			t.Errorf("refusal %+v, want one of kind quarantined that did not run", caller.refusal)
		}
		if waited := time.Since(crashed); waited > latePollInterval {
			t.Errorf("refused %s after the part was known", waited)
		}
	})
}

// A call to a plain service says nothing of a part of prompts: neither does it clear one, nor
// is it refused for one.
func TestPartsOfPromptsConcernGenerationsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		serve := func(path string) *fakeCaller {
			req, caller := newRequest(path), &fakeCaller{}
			req.Parts = []uint64{7}
			f.gate.Serve(context.Background(), req, caller)
			return caller
		}
		for i := range quarantine.DefaultStrikeLimit {
			time.Sleep(time.Second)
			f.gate.cfg.Quarantine.RecordCrash(domain.UpstreamID(fmt.Sprint("p", i)), []uint64{uint64(i + 1)}, 7)
		}
		if caller := serve("/once/x"); caller.answer == nil {
			t.Errorf("a plain call was refused: %v", caller.refusal)
		}
		if caller := serve("/draft/x"); caller.refusal == nil || caller.refusal.Kind != domain.RefusalQuarantined {
			t.Errorf("a generation got %+v, want a refusal of kind quarantined", caller)
		}
	})
}

// A request that was given up before its upstream crashed must get a strike for it, also if no
// other request was there: the next connection to the upstream is refused.
func TestCrashAfterARequestWasGivenUpCounts(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			f.listening = func(*traffic.Upstream) (bool, error) { return !crashes, nil }
			f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return nil, errNoResponse }
			req := newRequest("/again/x")
			req.Fingerprint, req.Deadline = 7, req.Arrived.Add(500*time.Millisecond)
			f.gate.Serve(context.Background(), req, &fakeCaller{})
			f.call = func(*traffic.Upstream) (*traffic.Answer, error) {
				return nil, &traffic.CallError{Effect: traffic.EffectNotSent, Err: syscall.ECONNREFUSED}
			}
			other := newRequest("/again/x")
			other.Fingerprint = 8
			f.gate.Serve(context.Background(), other, &fakeCaller{})
			if got := len(f.gate.cfg.Quarantine.CrashedUpstreams(7)) == 2; got != crashes {
				t.Errorf("crashes: %t; strikes %v", crashes, f.gate.cfg.Quarantine.CrashedUpstreams(7))
			}
			if f.gate.cfg.Quarantine.Suspect(8) {
				t.Error("a request that was not sent got a strike")
			}
		})
	}
}
