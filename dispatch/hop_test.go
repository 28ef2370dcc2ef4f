package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/reach"
	"greengagespoke/traffic"
)

// fakeHops records the requests that are passed on, and answers them by pass.
type fakeHops struct {
	mu     sync.Mutex
	hosts  []domain.HostID
	passed []traffic.HopOptions
	pass   func(n int) (traffic.HopResponse, error)
	// lastRelease makes all hosts know no grants.
	lastRelease bool
	// frozen is the number of the first requests that are never answered.
	frozen int
}

func (h *fakeHops) Pass(ctx context.Context, host domain.HostID, _ *traffic.Request, opts traffic.HopOptions) (traffic.HopResponse, error) {
	h.mu.Lock()
	h.hosts, h.passed = append(h.hosts, host), append(h.passed, opts)
	n := len(h.passed)
	h.mu.Unlock()
	if h.lastRelease && opts.Grant != nil {
		return traffic.HopResponse{}, errDeclined
	}
	if n <= h.frozen {
		<-ctx.Done()
		return traffic.HopResponse{}, &traffic.CallError{Effect: traffic.EffectUnknown, Err: ctx.Err()}
	}
	resp, err := h.pass(n)
	if !h.lastRelease && resp.Usage == nil && (err == nil || asCallError(err).Effect == traffic.EffectRejected) {
		resp.Usage = &opts.Usage
	}
	return resp, err
}

type reachingPeer struct{}

func (reachingPeer) Reach(context.Context, ports.ReachQuery) (ports.ReachReply, error) {
	return ports.ReachReply{Reached: true}, nil
}

// cutOff cuts the fixture's host from all upstreams, and lets other hosts serve for it. It must
// be called under virtual time.
func cutOff(ctx context.Context, f *fixture, hops *fakeHops) {
	var members []domain.Member
	for _, id := range []domain.HostID{"h2", "h3", "h4"} {
		members = append(members, domain.Member{ID: id, Zone: testZone, State: domain.MemberAlive})
	}
	m := reach.New(reach.Config{
		Self: "h", Services: func() []traffic.ServiceName { return []traffic.ServiceName{testService, testPlain} }, Ready: f.catalog.Ready,
		Listening: func(context.Context, *traffic.Upstream) (bool, error) { return false, nil },
		Members:   func() []domain.Member { return members }, Counters: counters.NewSet(),
		Peer: func(domain.HostID) ports.ReachPeer { return reachingPeer{} },
	})
	f.gate.cfg.Reach, f.gate.cfg.Hops = m, hops
	for range 2 {
		m.Failed(testService)
		m.Failed(testPlain)
	}
	go func() { _ = m.Run(ctx) }()
	time.Sleep(3 * time.Second)
}

var (
	errDeclined = &traffic.CallError{Effect: traffic.EffectRejected, Err: errors.New("declined")}
	errHopLost  = &traffic.CallError{Effect: traffic.EffectUnknown, ConnectionLost: true, Err: errors.New("lost")}
)

// Requests at a host that is cut off are served by other hosts, and only what did not run is
// passed on again.
func TestRequestsAtACutHostArePassedOn(t *testing.T) {
	answer := traffic.HopResponse{Answer: &traffic.Answer{Status: 200}}
	for name, c := range map[string]struct {
		path string
		pass func(n int) (traffic.HopResponse, error)
		// hops is the number of hosts to which the request goes.
		hops     int
		answered bool
		ran      domain.Ran
	}{
		"served":            {"/once/x", func(int) (traffic.HopResponse, error) { return answer, nil }, 1, true, ""},
		"declined":          {"/once/x", func(n int) (traffic.HopResponse, error) { return answer, firstly(n, errDeclined) }, 2, true, ""},
		"not sent":          {"/once/x", func(n int) (traffic.HopResponse, error) { return answer, firstly(n, errConnectionRefused) }, 2, true, ""},
		"all decline":       {"/once/x", func(int) (traffic.HopResponse, error) { return answer, errDeclined }, maxHopTries, false, domain.RanNo},
		"lost, once":        {"/once/x", func(int) (traffic.HopResponse, error) { return answer, errHopLost }, 1, false, domain.RanUnknown},
		"lost, repeatable":  {"/again/x", func(n int) (traffic.HopResponse, error) { return answer, firstly(n, errHopLost) }, 2, true, ""},
		"lost, then denied": {"/again/x", func(n int) (traffic.HopResponse, error) { return answer, cmpErr(n == 1, errHopLost, errDeclined) }, maxHopTries, false, domain.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFixture(t, 1)
				hops := &fakeHops{pass: c.pass}
				cutOff(ctx, f, hops)
				caller := f.serve(c.path, &fakeCaller{})
				if len(hops.passed) != c.hops || (caller.answer != nil) != c.answered {
					t.Errorf("passed on %d times, answer %v, refusal %v", len(hops.passed), caller.answer, caller.refusal)
				}
				if !c.answered && (caller.refusal == nil || caller.refusal.Ran != c.ran) {
					t.Errorf("refusal %v, want ran %q", caller.refusal, c.ran)
				}
				if n := f.count("call"); n != 0 {
					t.Errorf("%d calls over links that are cut", n)
				}
			})
		})
	}
}

func firstly(n int, err error) error { return cmpErr(n == 1, err, nil) }

func cmpErr(first bool, a, b error) error {
	if first {
		return a
	}
	return b
}

// A request that another host passed on is not passed on again, and hosts with different
// configurations do not serve for each other.
func TestRequestMakesOneHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFixture(t, 1)
		caller, req := &fakeCaller{}, newRequest("/once/x")
		req.Hop = &traffic.Hop{Version: 2}
		f.gate.Serve(ctx, req, caller)
		if r := caller.refusal; r == nil || r.Kind != domain.RefusalCutOff || r.Ran != domain.RanNo || f.count("call") != 0 {
			t.Errorf("with another configuration: refusal %v, calls %v", r, f.calls)
		}
		hops := &fakeHops{pass: func(int) (traffic.HopResponse, error) { return traffic.HopResponse{}, nil }}
		cutOff(ctx, f, hops)
		for _, path := range []string{"/once/x", "/draft/", "/resume/"} {
			caller, req = &fakeCaller{}, newRequest(path)
			req.Hop = &traffic.Hop{Version: 1}
			f.gate.Serve(ctx, req, caller)
			if r := caller.refusal; r == nil || r.Kind != domain.RefusalCutOff || len(hops.passed) != 0 {
				t.Errorf("%s: refusal %v, passed on %d times", path, r, len(hops.passed))
			}
		}
	})
}

// A stream whose host is cut off goes on at another host within the same response, after the
// last event, as a stream of the request that began it.
func TestStreamGoesOnAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFixture(t, 1)
		hops := &fakeHops{pass: func(int) (traffic.HopResponse, error) {
			return traffic.HopResponse{Stream: &fakeStream{next: 3, last: 4}}, nil
		}}
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
			stream := newFakeStream(2, errReset)
			stream.closed = func() { cutOff(ctx, f, hops) }
			return stream, nil
		}
		caller := &fakeCaller{}
		f.gate.Serve(ctx, newRequest("/resume/"), caller)
		if !slices.Equal(caller.events, []string{"1", "2", "3", "4"}) || caller.aborted {
			t.Fatalf("events %v, aborted %v, refusal %v", caller.events, caller.aborted, caller.refusal)
		}
		if o := hops.passed[0]; o.LastEventID != "2" || o.Resumes != "q" || !o.Counted {
			t.Errorf("passed on with %+v", o)
		}
	})
}

// A stream goes on at a third host if the second one is lost, after the last event of that one.
func TestStreamOutlivesTheHostThatItWasPassedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFixture(t, 1)
		hops := &fakeHops{pass: func(n int) (traffic.HopResponse, error) {
			if n == 1 {
				return traffic.HopResponse{Stream: newFakeStream(2, errHopLost)}, nil
			}
			return traffic.HopResponse{Stream: &fakeStream{next: 3, last: 4}}, nil
		}}
		cutOff(ctx, f, hops)
		caller := f.serve("/resume/", &fakeCaller{})
		if !slices.Equal(caller.events, []string{"1", "2", "3", "4"}) || caller.aborted || hops.passed[1].LastEventID != "2" {
			t.Errorf("events %v, aborted %v, passed on with %+v", caller.events, caller.aborted, hops.passed)
		}
		hops.passed = nil
		caller = f.serve("/draft/", &fakeCaller{})
		if !caller.aborted || caller.refusal != nil || len(caller.events) != 2 {
			t.Errorf("a stream that cannot be resumed: events %v, aborted %v", caller.events, caller.aborted)
		}
	})
}

// silentStream stops after some events and is silent until it is closed.
type silentStream struct{ *fakeStream }

func (s silentStream) Next(wait time.Duration) (traffic.Event, error) {
	if s.next > s.last {
		time.Sleep(wait)
		return traffic.Event{}, &traffic.CallError{Effect: traffic.EffectUnknown, Err: errors.New("silent")}
	}
	return s.fakeStream.Next(wait)
}

// A host that freezes holds the streams that were passed on to it. Those that may be resumed go on at
// a further host before their callers leave, after four seconds of silence.
func TestStreamOutlivesAFrozenHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFixture(t, 1)
		hops := &fakeHops{pass: func(n int) (traffic.HopResponse, error) {
			if n == 1 {
				return traffic.HopResponse{Stream: silentStream{newFakeStream(2, nil)}}, nil
			}
			return traffic.HopResponse{Stream: &fakeStream{next: 3, last: 4}}, nil
		}}
		cutOff(ctx, f, hops)
		began := time.Now()
		caller := f.serve("/resume/", &fakeCaller{})
		if took := time.Since(began); !slices.Equal(caller.events, []string{"1", "2", "3", "4"}) || caller.aborted || took > 3500*time.Millisecond {
			t.Errorf("events %v, aborted %v after %s, want all events before the caller leaves", caller.events, caller.aborted, took)
		}
	})
}

// A host that freezes held what was passed on to it and had no answer yet until the caller left. What
// may run twice goes to a further host in time; what may not stays where it may have run.
func TestFrozenHostHoldsNothingThatMayRunTwice(t *testing.T) {
	for path, served := range map[string]bool{"/again/x": true, "/resume/": true, "/once/x": false, "/draft/": false} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFixture(t, 1)
				hops := &fakeHops{frozen: 1, pass: func(int) (traffic.HopResponse, error) {
					if path == "/resume/" {
						return traffic.HopResponse{Stream: newFakeStream(4, nil)}, nil
					}
					return traffic.HopResponse{Answer: &traffic.Answer{Status: 200}}, nil
				}}
				cutOff(ctx, f, hops)
				caller := f.serve(path, &fakeCaller{})
				got := caller.answer != nil || len(caller.events) == 4
				if got != served || len(hops.passed) != map[bool]int{true: 2, false: 1}[served] {
					t.Errorf("served: %t after %d hosts, refusal %v", got, len(hops.passed), caller.refusal)
				}
			})
		})
	}
}

// A request that is passed on counts once for the retry budget.
func TestPassedOnRequestIsCountedOnce(t *testing.T) {
	for _, counted := range []bool{false, true} {
		f := newFixture(t, 1)
		f.gate.cfg.Budget.Set(BudgetLimits{Ratio: 1, Extra: 0, Window: 10 * time.Second})
		for range 20 {
			req := newRequest("/again/x")
			req.Hop = &traffic.Hop{Version: 1, Usage: traffic.Usage{Counted: counted}}
			f.gate.Serve(context.Background(), req, &fakeCaller{})
		}
		if got := f.gate.cfg.Budget.TakeRetry(testPlain, time.Now()); got == counted {
			t.Errorf("counted elsewhere: %v, a retry is allowed: %v", counted, got)
		}
	}
}
