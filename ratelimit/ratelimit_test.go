package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/window"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// testDelay is the time of a question to another host.
	testDelay = 10 * time.Millisecond
	// boundWindow, tolerance and extra are the platform's bound: in each window at most
	// tolerance times the limit, and extra requests.
	boundWindow = 4 * time.Second
	tolerance   = 1.5
	extra       = 5
)

var limited = &traffic.Upstream{ID: "u", Address: "10.0.0.1:1", StartedAtMillis: 7}

// fleet is a number of hosts that ask each other.
type fleet struct {
	hosts []*Limits
	sets  []*counters.Set

	mu sync.Mutex
	// granting is the index of the granting host; unreachable means that questions to it
	// are not answered.
	granting    int
	unreachable bool
	questions   int
}

func hostID(i int) domain.HostID { return domain.HostID(fmt.Sprint("h", i)) }

func newFleet(ctx context.Context, n int) *fleet {
	f := &fleet{}
	for i := range n {
		set := counters.NewSet()
		l := New(Config{
			Self: hostID(i), Counters: set,
			GrantingHost: func(domain.UpstreamID) domain.HostID {
				f.mu.Lock()
				defer f.mu.Unlock()
				return hostID(f.granting)
			},
			Peer: func(host domain.HostID) ports.RatePeer { return remote{f, host} },
		})
		f.hosts, f.sets = append(f.hosts, l), append(f.sets, set)
		go func() { _ = l.Run(ctx) }()
	}
	return f
}

// remote is another host of a fleet.
type remote struct {
	f    *fleet
	host domain.HostID
}

func (r remote) Grant(ctx context.Context, req ports.RateRequest) (ports.RateReply, error) {
	r.f.mu.Lock()
	r.f.questions++
	unreachable := r.f.unreachable
	r.f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return ports.RateReply{}, ports.ErrPeerUnreachable
	}
	time.Sleep(testDelay)
	for i, l := range r.f.hosts {
		if hostID(i) == r.host {
			return l.Grant(ctx, req)
		}
	}
	return ports.RateReply{}, ports.ErrPeerUnreachable
}

// demand lets each host send requests to the limited upstream whenever it may, at a mean
// rate a host, and returns the times of the requests.
func (f *fleet) demand(ctx context.Context, perHost float64, length time.Duration) []time.Time {
	var mu sync.Mutex
	var sent []time.Time
	var wg sync.WaitGroup
	for i, l := range f.hosts {
		draw := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); {
				time.Sleep(time.Duration(draw.ExpFloat64() / perHost * float64(time.Second)))
				if l.Take(ctx, limited) {
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return sent
}

// However many hosts there are, an upstream gets no more than its limit from all together,
// most of the limit is used, and the questions are bounded.
func TestLimitHoldsForAllHosts(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		rate    float64
		perHost float64
		minUse  float64
	}{
		{hosts: 1, rate: 1.2, perHost: 20, minUse: 0.7},
		{hosts: 3, rate: 2.5, perHost: 20, minUse: 0.7},
		{hosts: 9, rate: 0.8, perHost: 3, minUse: 0.7},
		{hosts: 9, rate: 20, perHost: 10, minUse: 0.7},
		{hosts: 9, rate: 2, perHost: 0.4, minUse: 0.4},
		{hosts: 340, rate: 1, perHost: 1, minUse: 0.7},
	} {
		t.Run(fmt.Sprintf("%d-hosts-%v", c.hosts, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, c.hosts)
				for _, l := range f.hosts {
					l.Observe(limited, c.rate, true)
				}
				const length = 120 * time.Second
				sent := f.demand(ctx, c.perHost, length)
				if n, allowed := window.Busiest(sent, boundWindow, time.Time{}), tolerance*boundWindow.Seconds()*c.rate+extra; float64(n) > allowed {
					t.Errorf("%d requests in %s, want at most %.1f", n, boundWindow, allowed)
				}
				used := float64(len(sent)) / (c.rate * length.Seconds())
				t.Logf("used %.2f of the limit, %d questions", used, f.questions)
				if used < c.minUse {
					t.Errorf("used %.2f of the limit, want at least %.2f", used, c.minUse)
				}
				if allowed := (4*c.rate+2*maxAskRate)*length.Seconds() + 4*float64(c.hosts); float64(f.questions) > allowed {
					t.Errorf("%d questions, want at most %.0f", f.questions, allowed)
				}
				cancel()
			})
		})
	}
}

// Without the granting host nothing is granted, each host asks once in a while only, and a
// new granting host starts without saved grants.
func TestGrantingHostIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 3)
		for _, l := range f.hosts {
			l.Observe(limited, 2, true)
		}
		synctest.Wait()
		f.mu.Lock()
		f.unreachable, f.questions = true, 0
		f.mu.Unlock()
		for range 100 {
			for i, l := range f.hosts[1:] {
				if l.Take(ctx, limited) {
					t.Errorf("host %d got a grant", i+1)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if f.questions > 12 {
			t.Errorf("%d questions in about 2 s by two hosts", f.questions)
		}
		f.mu.Lock()
		f.unreachable, f.granting = false, 1
		f.mu.Unlock()
		sent := f.demand(ctx, 20, 20*time.Second)
		if n, allowed := window.Busiest(sent, boundWindow, time.Time{}), tolerance*boundWindow.Seconds()*2+extra; float64(n) > allowed || len(sent) < 20 {
			t.Errorf("%d requests, worst %d in %s, allowed %.0f", len(sent), n, boundWindow, allowed)
		}
	})
}

// The newest statement counts for all hosts: a limit that ended or changed is learned with
// the next question or report, and an older statement does not bring it back.
func TestNewestStatementCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 3)
		for _, l := range f.hosts {
			l.Observe(limited, 1, true)
		}
		time.Sleep(time.Second)
		f.hosts[2].Observe(limited, 0, false)
		time.Sleep(time.Second)
		if _, limited := f.hosts[0].Rate(limited); limited {
			t.Error("the granting host does not know that the limit has ended")
		}
		f.hosts[1].Take(ctx, limited)
		if _, limited := f.hosts[1].Rate(limited); limited {
			t.Error("a host that asked does not know that the limit has ended")
		}
		reply, err := f.hosts[0].Grant(ctx, ports.RateRequest{From: "h1", Process: processOf(limited), Limit: ports.RateLimit{Rate: 1, Age: 10 * time.Second}})
		if err != nil || !reply.Granted || reply.Limit.Rate != 0 {
			t.Errorf("an older statement brought the limit back: %+v, %v", reply, err)
		}
		f.hosts[2].Observe(limited, 3, true)
		time.Sleep(time.Second)
		if rate, _ := f.hosts[0].Rate(limited); rate != 3 {
			t.Errorf("the granting host knows the limit %v, want the new one", rate)
		}
	})
}

// A new process of an upstream has no limit until it states one.
func TestLimitEndsWithTheProcess(t *testing.T) {
	f := newFleet(t.Context(), 1)
	f.hosts[0].Observe(limited, 1, true)
	next := *limited
	next.StartedAtMillis++
	if _, isLimited := f.hosts[0].Rate(&next); isLimited || !f.hosts[0].TakeReady(&next) {
		t.Error("the next process has the limit of the earlier one")
	}
}

// A grant that was not used serves the next request, but not much later.
func TestUnusedGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFleet(ctx, 1).hosts[0]
		l.Observe(limited, 0.5, true)
		l.Take(ctx, limited)
		time.Sleep(3 * time.Second)
		if !l.Take(ctx, limited) {
			t.Fatal("no grant after the time of one")
		}
		l.GiveBack(limited)
		if !l.TakeReady(limited) || l.TakeReady(limited) {
			t.Error("the grant was not kept, or was used twice")
		}
		l.GiveBack(limited)
		time.Sleep(unusedGrantTTL)
		if l.TakeReady(limited) {
			t.Error("the grant did not expire")
		}
	})
}

// The state of upstreams that are no longer called must not be kept.
func TestUnusedStatesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFleet(ctx, 1).hosts[0]
		l.Observe(limited, 1, true)
		time.Sleep(stateTTL + 2*cleanupInterval)
		if n := l.states.Len(); n != 0 || l.known.Load() != 0 {
			t.Errorf("%d states are kept", n)
		}
	})
}

// Hosts may disagree for a while on who grants. One that does not count itself as the granting
// host must grant nothing, or the same limit would be granted twice.
func TestHostThatIsNotTheGrantingOneGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 2)
		f.hosts[1].Observe(limited, 5, true)
		for range 10 {
			time.Sleep(time.Second)
			reply, err := f.hosts[1].Grant(ctx, ports.RateRequest{From: "h0", Process: processOf(limited), Limit: ports.RateLimit{Rate: 5}})
			if err != nil || reply.Granted || reply.Wait <= 0 {
				t.Fatalf("got %+v, %v, want a denial with a wait", reply, err)
			}
		}
	})
}

// An upstream that asked for rest gets nothing until the latest end of what it asked for, then one
// request, and the others only if it does not ask again. A new process owes nothing.
func TestUpstreamThatAskedForRestGetsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFleet(t.Context(), 1).hosts[0]
		take := func() bool { return l.TakeReady(limited) || l.Take(t.Context(), limited) }
		l.Rest(limited, 3*time.Second)
		l.Rest(limited, time.Second)
		next := *limited
		next.StartedAtMillis++
		if take() || !l.Resting(limited) || !l.Limited(limited) || l.Limited(&next) || !l.TakeReady(&next) {
			t.Error("sent to during its rest, or another process is not sent to")
		}
		if wait := l.Wait(limited); wait != 3*time.Second {
			t.Errorf("%s to wait, want the longest rest", wait)
		}
		time.Sleep(3 * time.Second)
		if !take() || take() {
			t.Error("not one request after the rest")
		}
		l.GiveBack(limited)
		if !take() || take() {
			t.Error("what was not sent is not sent later, or more than it")
		}
		l.Rest(limited, time.Second)
		time.Sleep(time.Second)
		if !take() || take() {
			t.Error("not one request after the second rest")
		}
		time.Sleep(firstAfterRest)
		for range 2 {
			if !take() || l.Resting(limited) {
				t.Error("not used again after the first request ran well")
			}
		}
	})
}

// An upstream with a rate limit gets no grants during its rest, and those of its limit afterwards.
func TestUpstreamWithARateLimitRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFleet(t.Context(), 1).hosts[0]
		l.Observe(limited, 2, true)
		l.Rest(limited, 3*time.Second)
		granted := make(map[bool]int)
		for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(100 * time.Millisecond) {
			if l.Take(t.Context(), limited) {
				granted[time.Since(began) < 3*time.Second]++
			}
		}
		if granted[true] > 0 || granted[false] < 5 {
			t.Errorf("%d granted during the rest, %d after it", granted[true], granted[false])
		}
	})
}
