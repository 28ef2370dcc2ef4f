package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/ratelimit"
	"greengagespoke/traffic"
)

// silentPeer is a host that answers no question.
type silentPeer struct{}

func (silentPeer) Grant(ctx context.Context, _ ports.RateRequest) (ports.RateReply, error) {
	<-ctx.Done()
	return ports.RateReply{}, ports.ErrPeerUnreachable
}

// limit makes upstreams of the fixture state a rate limit.
func (f *fixture) limit(service traffic.ServiceName, ids ...domain.UpstreamID) {
	for _, up := range f.catalog.Ready(service) {
		for _, id := range ids {
			if up.ID == id {
				f.gate.cfg.RateLimits.Observe(up, 0.5, true)
			}
		}
	}
}

// A request that only upstreams at their rate limits could run must be told so at once, as
// not run, on each path.
func TestRequestIsRefusedAtOnceIfAllUpstreamsAreAtTheirLimits(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/draft/x", "/resume/x"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			f.limit(testPlain, "p1", "p2")
			f.limit(testService, "d1", "d2")
			for range 4 {
				f.serve(path, &fakeCaller{})
			}
			began, sent := time.Now(), f.count("call")+f.count("stream")
			caller := f.serve(path, &fakeCaller{})
			if caller.refusal == nil || caller.refusal.Kind != domain.RefusalOverloaded || caller.refusal.Ran != domain.RanNo || caller.refusal.RetryAfter <= 0 {
				t.Errorf("%s: refusal %+v, want one that says that it did not run and when to come back", path, caller.refusal)
			}
			if waited := time.Since(began); waited != 0 {
				t.Errorf("%s: refused after %s", path, waited)
			}
			if now := f.count("call") + f.count("stream"); now != sent {
				t.Errorf("%s: %d requests sent beyond the limits", path, now-sent)
			}
		})
	}
}

// A request must not wait for the host that grants a limited upstream while another one has
// room.
func TestRequestDoesNotWaitForAGrantIfAnotherUpstreamHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.gate.cfg.RateLimits = ratelimit.New(ratelimit.Config{
			Self: "h", GrantingHost: func(domain.UpstreamID) domain.HostID { return "other" },
			Peer: func(domain.HostID) ports.RatePeer { return silentPeer{} }, Counters: counters.NewSet(),
		})
		f.limit(testPlain, "p1")
		for range 20 {
			began := time.Now()
			if caller := f.serve("/once/x", &fakeCaller{}); caller.answer == nil {
				t.Fatalf("refused: %v", caller.refusal)
			}
			if waited := time.Since(began); waited != 0 {
				t.Errorf("waited for %s", waited)
			}
		}
		if n := f.count("call p1"); n != 0 {
			t.Errorf("%d requests sent to the limited upstream without a grant", n)
		}
	})
}

// A prompt is prefilled elsewhere, or left to the decode engine, if the prefill engines are
// at their limits.
func TestPrefillEnginesAtTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.limit(testService, "f1", "f2")
		for range 4 {
			if caller := f.serve("/draft/x", &fakeCaller{}); caller.refusal != nil {
				t.Fatalf("refused: %v", caller.refusal)
			}
		}
		if n := f.count("prefill"); n > 0 {
			t.Errorf("%d prompts sent in no time to engines with a rate limit", n)
		}
	})
}

// A request whose first attempt may have run must not be refused as not run because its next
// attempt finds no engine.
func TestRefusedRetryMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
			f.limit(testService, "d1", "d2")
			return nil, errReset
		}
		caller := f.serve("/resume/x", &fakeCaller{})
		if caller.refusal == nil || caller.refusal.Ran != domain.RanUnknown {
			t.Errorf("refusal %+v, want one that does not say that the request did not run", caller.refusal)
		}
	})
}

// If no granting host answers and all upstreams state limits, a request must be refused soon,
// not after a question for each of them.
func TestSilentGrantingHostsDoNotHoldRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.gate.cfg.RateLimits = ratelimit.New(ratelimit.Config{
			Self: "h", GrantingHost: func(domain.UpstreamID) domain.HostID { return "other" },
			Peer: func(domain.HostID) ports.RatePeer { return silentPeer{} }, Counters: counters.NewSet(),
		})
		ids := []domain.UpstreamID{"p1", "p2", "p3", "p4", "p5", "p6"}
		for _, id := range ids[2:] {
			f.add(id, testPlain, domain.RoleService)
		}
		f.limit(testPlain, ids...)
		began := time.Now()
		caller := f.serve("/once/x", &fakeCaller{})
		if caller.refusal == nil || caller.refusal.Ran != domain.RanNo {
			t.Errorf("got %+v, want a refusal that says that the request did not run", caller)
		}
		if held := time.Since(began); held > 2*maxGrantWait {
			t.Errorf("refused after %s", held)
		}
	})
}

// A retry needs a grant like a first attempt.
func TestRetryKeepsTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.limit(testPlain, "p2")
		f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return &traffic.Answer{Status: 500}, nil }
		for range 10 {
			f.serve("/again/x", &fakeCaller{})
		}
		if n := f.count("call p2"); n != 0 {
			t.Errorf("%d retries sent in no time to an upstream with a rate limit", n)
		}
	})
}

// An engine with a rate limit is asked for one place, not for headroom before.
func TestLimitedEngineIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.limit(testService, "d1", "d2")
		f.serve("/draft/x", &fakeCaller{})
		time.Sleep(10 * time.Second)
		if caller := f.serve("/draft/x", &fakeCaller{}); caller.refusal != nil {
			t.Fatalf("refused: %v", caller.refusal)
		}
		if n := f.count("reserve d"); n != 1 {
			t.Errorf("%d reservations for one stream, want 1", n)
		}
	})
}

// An upstream that asked for rest is used again as soon as its rest is over: its rejections say
// nothing of its health.
func TestUpstreamIsUsedAgainRightAfterItsRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest = 3 * time.Second
		f := newFixture(t, 1)
		began := time.Now()
		f.call = func(up *traffic.Upstream) (*traffic.Answer, error) {
			if up.ID == "p1" && time.Since(began) < rest {
				f.gate.cfg.RateLimits.Rest(up, rest-time.Since(began))
				return nil, &traffic.CallError{Effect: traffic.EffectRejected, Rests: true, Err: errRejected}
			}
			time.Sleep(20 * time.Millisecond)
			return &traffic.Answer{Status: 200}, nil
		}
		for time.Since(began) < rest {
			f.serve("/again/x", &fakeCaller{})
		}
		during := f.count("call p1")
		for range 10 {
			f.serve("/again/x", &fakeCaller{})
		}
		if during != 1 || f.count("call p1") == during {
			t.Errorf("%d requests sent before the end of the rest, %d in ten afterwards", during, f.count("call p1")-during)
		}
	})
}
