package dispatch

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

func TestGenerationReservesThenPrefillsThenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		caller := f.serve("/draft/x", &fakeCaller{})
		if want := []string{"1", "2", "3"}; !slices.Equal(caller.events, want) || caller.aborted {
			t.Fatalf("events %v, want %v", caller.events, want)
		}
		var order []string
		for _, c := range f.calls {
			order = append(order, strings.Fields(c)[0])
		}
		// The first reservation only checks the headroom for growth, the third that
		// the prefill engine is idle.
		if want := []string{"reserve", "drop", "reserve", "reserve", "drop", "prefill", "stream"}; !slices.Equal(order, want) {
			t.Fatalf("calls %v, want %v", f.calls, want)
		}
	})
}

// Guards against repeated calls to an engine that crashed and restarted at the same
// address under another ID, while its old entry stays registered for seconds. It
// grants reservations to all hosts, but answers requests with 421.
func TestReplacedEngineIsNotCalledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The other engine is busy, so the replaced one has the lower cost.
		const requests, gap, length = 40, 100 * time.Millisecond, 2 * time.Second
		f := newFixture(t, 1)
		f.stream = func(up *traffic.Upstream, _ traffic.SendOptions) (traffic.Stream, error) {
			if up.ID == "d1" {
				return nil, errMisdirected
			}
			return &delayedEndStream{fakeStream: newFakeStream(3, nil), at: time.Now().Add(length)}, nil
		}
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				if caller := f.serve("/draft/x", &fakeCaller{}); !caller.started {
					t.Errorf("refused: %v", caller.refusal)
				}
			})
			time.Sleep(gap)
		}
		all.Wait()
		if got := f.count("stream d1"); got > 1 {
			t.Fatalf("the replaced engine was called %d times", got)
		}
	})
}

// Every call beyond the first prefill and the first stream of a request must spend a
// retry of the budget.
func TestRejectedStreamsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 9
		f := newFixture(t, hosts)
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) { return nil, errRejected }
		const requests = 40
		for range requests {
			f.serve("/draft/x", &fakeCaller{})
			f.serve("/resume/x", &fakeCaller{})
		}
		// Every first prefill is free, every first stream is the request itself.
		retries := f.count("prefill") + f.count("stream") - 2*2*requests
		if allowed := 0.2*2*requests + 58.0/hosts; float64(retries) > allowed {
			t.Fatalf("%d retries, allowed %.1f", retries, allowed)
		}
	})
}

// A rejected prefill call is not free: together with the stream, engines receive the
// request twice.
func TestRejectedPrefillsStayWithinTheBudget(t *testing.T) {
	for _, rejection := range []error{errRejected, errMisdirected} {
		synctest.Test(t, func(t *testing.T) {
			const hosts, requests = 9, 80
			f := newFixture(t, hosts)
			f.prefill = func(*traffic.Upstream) error { return rejection }
			for range requests {
				f.serve("/draft/x", &fakeCaller{})
			}
			retries := f.count("prefill") + f.count("stream") - requests
			if allowed := 0.2*requests + 58.0/hosts; float64(retries) > allowed {
				t.Errorf("%v: %d retries, allowed %.1f", rejection, retries, allowed)
			}
		})
	}
}

// If every prefill engine has been replaced, the decode engines prefill the prompts.
func TestNoPrefillWhenAllPrefillEnginesAreUnhealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 20
		f := newFixture(t, 1)
		f.prefill = func(*traffic.Upstream) error { return errMisdirected }
		for range requests {
			if caller := f.serve("/draft/x", &fakeCaller{}); !caller.started {
				t.Fatalf("refused: %v", caller.refusal)
			}
		}
		if got := f.count("prefill"); got > 2 {
			t.Fatalf("two replaced prefill engines were sent %d prompts", got)
		}
	})
}

func TestBrokenStreamIsResumedOnlyOnResumableRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			if opts.Resume {
				return &fakeStream{next: 3, last: 4}, nil
			}
			return newFakeStream(2, errReset), nil
		}
		resumed := f.serve("/resume/x", &fakeCaller{})
		if want := []string{"1", "2", "3", "4"}; !slices.Equal(resumed.events, want) || resumed.aborted {
			t.Fatalf("events %v aborted %v, want %v", resumed.events, resumed.aborted, want)
		}
		broken := f.serve("/draft/x", &fakeCaller{})
		if !broken.aborted || len(broken.events) != 2 {
			t.Fatalf("events %v aborted %v, want 2 events and an aborted response", broken.events, broken.aborted)
		}
	})
}

// Guards against breaking off a long stream whose engine crashed while the other
// engines are full (incident 91a0 of grown sine). Its wait for a slot counts from
// the break, not from the arrival of the request.
func TestBrokenStreamWaitsForASlotFromTheBreakOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ran, full = 5 * time.Second, 500 * time.Millisecond
		f := newFixture(t, 1)
		began := time.Now()
		f.reserve = func(*traffic.Upstream, int) error {
			if since := time.Since(began); since >= ran && since < ran+full {
				return errRejected
			}
			return nil
		}
		f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			if opts.Resume {
				return &fakeStream{next: 3, last: 4}, nil
			}
			return &delayedEndStream{fakeStream: newFakeStream(2, errReset), at: began.Add(ran)}, nil
		}
		caller := f.serve("/resume/x", &fakeCaller{})
		if want := []string{"1", "2", "3", "4"}; !slices.Equal(caller.events, want) || caller.aborted {
			t.Fatalf("events %v aborted %v, want %v", caller.events, caller.aborted, want)
		}
		if gap := time.Since(began) - ran; gap > time.Second {
			t.Fatalf("the stream was resumed after %s, want about %s", gap, full)
		}
	})
}

// delayedEndStream returns its events at once and ends at a given time.
type delayedEndStream struct {
	*fakeStream
	at time.Time
}

func (s *delayedEndStream) Next(wait time.Duration) (traffic.Event, error) {
	if s.next > s.last {
		time.Sleep(time.Until(s.at))
	}
	return s.fakeStream.Next(wait)
}

func TestGenerationThatMayHaveRunIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) { return nil, errReset }
		for i, path := range []string{"/draft/x", "/draft-of-two/x"} {
			caller := f.serve(path, &fakeCaller{})
			if caller.refusal == nil || caller.refusal.Ran != domain.RanUnknown || f.count("stream") != i+1 {
				t.Fatalf("%s: refusal %v, calls %v", path, caller.refusal, f.calls)
			}
		}
	})
}

func TestDisconnectedCallerEndsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		closed := 0
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
			s := newFakeStream(5, nil)
			s.closed = func() { closed++ }
			return s, nil
		}
		f.serve("/resume/x", &fakeCaller{disconnectAfter: 2})
		if closed != 1 || f.count("stream") != 1 {
			t.Fatalf("closed %d times, calls %v", closed, f.calls)
		}
	})
}

// If the request did not reach the decode engine, the prompt is used on another one
// and not prefilled again.
func TestUnusedPromptGoesToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.catalog.Apply(withHandleTTL(f.catalog.Config(), 500*time.Millisecond), "test")
		missed := false
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
			if !missed {
				missed = true
				return nil, errMisdirected
			}
			return newFakeStream(3, nil), nil
		}
		caller := f.serve("/draft/x", &fakeCaller{})
		if !caller.started || f.count("prefill") != 1 || f.count("stream") != 2 || f.count("drop prompt") != 0 {
			t.Fatalf("refusal %v, calls %v", caller.refusal, f.calls)
		}
	})
}

// withHandleTTL returns the next version of a configuration with another TTL of
// prefilled prompts.
func withHandleTTL(config *traffic.Config, ttl time.Duration) *traffic.Config {
	next := *config
	next.Version++
	next.Services = maps.Clone(config.Services)
	service := next.Services[testService]
	engine := *service.Engine
	engine.PromptTTL = ttl
	service.Engine = &engine
	next.Services[testService] = service
	return &next
}
