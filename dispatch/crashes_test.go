package dispatch

import (
	"context"
	"errors"
	"testing"
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
	f.fakeUpstreams.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
		return newFakeStream(2, errConnectionLost), nil
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
