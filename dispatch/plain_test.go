package dispatch

import (
	"testing"
	"testing/synctest"

	"greengagespoke/catalog"
	"greengagespoke/domain"
	"greengagespoke/traffic"
)

func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name, path string
		err        error
		ran        domain.Ran
		sent       int
	}{
		{"reset", "/once/x", errReset, domain.RanUnknown, 1},
		{"silent", "/once/x", errNoResponse, domain.RanUnknown, 1},
		{"rejected", "/once/x", errRejected, domain.RanNo, 1},
		// Both upstreams have been replaced by other processes at their addresses.
		{"misdirected", "/once/x", errMisdirected, domain.RanNo, 2},
		{"reset, two attempts", "/once-of-two/x", errReset, domain.RanUnknown, 1},
		{"silent, two attempts", "/once-of-two/x", errNoResponse, domain.RanUnknown, 1},
		{"rejected, two attempts", "/once-of-two/x", errRejected, domain.RanNo, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return nil, c.err }
				caller := f.serve(c.path, &fakeCaller{})
				if caller.refusal == nil || caller.refusal.Ran != c.ran {
					t.Fatalf("refusal %v, want ran %s", caller.refusal, c.ran)
				}
				if got := f.count("call"); got != c.sent {
					t.Fatalf("sent %d times, want %d", got, c.sent)
				}
			})
		})
	}
}

func TestCallThatWasNotSentGoesToAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		failed := false
		f.call = func(*traffic.Upstream) (*traffic.Answer, error) {
			if !failed {
				failed = true
				return nil, errConnectionRefused
			}
			return &traffic.Answer{Status: 200}, nil
		}
		if caller := f.serve("/once/x", &fakeCaller{}); caller.answer == nil {
			t.Fatalf("refused: %v", caller.refusal)
		}
	})
}

func TestIdempotentCallIsTriedOnAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer *traffic.Answer
		err    error
	}{
		{"failed", &traffic.Answer{Status: 500}, nil},
		{"reset", nil, errReset},
		{"silent", nil, errNoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				var first domain.UpstreamID
				f.call = func(up *traffic.Upstream) (*traffic.Answer, error) {
					if first == "" || first == up.ID {
						first = up.ID
						return c.answer, c.err
					}
					return &traffic.Answer{Status: 200}, nil
				}
				caller := f.serve("/again/x", &fakeCaller{})
				if caller.answer == nil || caller.answer.Status != 200 {
					t.Fatalf("answer %v, refusal %v", caller.answer, caller.refusal)
				}
			})
		})
	}
}

func TestFailureOfTheUpstreamIsDeliveredWhereNoOtherDoesBetter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return &traffic.Answer{Status: 500}, nil }
		caller := f.serve("/again/x", &fakeCaller{})
		if caller.answer == nil || caller.answer.Status != 500 {
			t.Fatalf("answer %v, refusal %v", caller.answer, caller.refusal)
		}
		if got := f.count("call"); got != 2 {
			t.Fatalf("sent %d times, want 2", got)
		}
	})
}

func TestUnknownRouteAndUnknownConfiguration(t *testing.T) {
	f := newFixture(t, 1)
	if caller := f.serve("/none/x", &fakeCaller{}); caller.refusal.Kind != domain.RefusalNoRoute {
		t.Fatalf("refusal %v", caller.refusal)
	}
	unknown := newTestGate(f, catalog.New(), 1)
	asked := &fakeCaller{}
	unknown.Serve(t.Context(), newRequest("/once/x"), asked)
	if asked.refusal == nil || asked.refusal.Kind != domain.RefusalStoreDown || asked.refusal.Ran != domain.RanNo {
		t.Fatalf("without a configuration: refusal %v", asked.refusal)
	}
	f.leaving = true
	if caller := f.serve("/once/x", &fakeCaller{}); caller.refusal.Kind != domain.RefusalLeaving || caller.refusal.Ran != domain.RanNo {
		t.Fatalf("refusal %v", caller.refusal)
	}
}
