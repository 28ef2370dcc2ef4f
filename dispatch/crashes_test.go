package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"greengagespoke/domain"
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
