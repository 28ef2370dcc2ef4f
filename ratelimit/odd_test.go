package ratelimit

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// oddLimits are limits that a host may send only in error.
var oddLimits = []ports.RateLimit{
	{Rate: 1, Age: -time.Hour},
	{Rate: 1, Age: math.MinInt64},
	{Rate: math.NaN()},
	{Rate: math.Inf(1)},
	{Rate: -1},
}

// A statement from the future outlived all later ones, so that one malformed message limited an
// upstream for good.
func TestOddLimitsOfOtherHostsAreIgnored(t *testing.T) {
	for _, odd := range oddLimits {
		synctest.Test(t, func(t *testing.T) {
			set := counters.NewSet()
			l := New(Config{Self: "h0", Counters: set, GrantingHost: func(domain.UpstreamID) domain.HostID { return "h0" }})
			reply, err := l.Grant(t.Context(), ports.RateRequest{From: "h1", Process: processOf(limited), Limit: odd})
			if err != nil || !reply.Granted || reply.Limit.Rate != 0 {
				t.Errorf("%+v: got %+v, %v; want a grant without a limit", odd, reply, err)
			}
			time.Sleep(time.Second)
			l.Observe(limited, 7, true)
			if rate, known := l.Rate(limited); !known || rate != 7 {
				t.Errorf("%+v: the upstream states 7 a second, got %f", odd, rate)
			}
			if n := set.Int(defOdd).Value(); n != 1 {
				t.Errorf("%+v: %d odd limits counted", odd, n)
			}
		})
	}
}

// denying is a granting host that denies all and names a wait.
type denying time.Duration

func (d denying) Grant(context.Context, ports.RateRequest) (ports.RateReply, error) {
	return ports.RateReply{Wait: time.Duration(d), Limit: ports.RateLimit{Rate: 1}}, nil
}

// A host that was told to wait without end never asked again.
func TestWaitThatAnotherHostNamesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait := time.Duration(math.MaxInt64)
		asked := 0
		l := New(Config{
			Self: "h0", Counters: counters.NewSet(), GrantingHost: func(domain.UpstreamID) domain.HostID { return "h1" },
			Peer: func(domain.HostID) ports.RatePeer {
				asked++
				return denying(wait)
			},
		})
		l.Observe(limited, 1, true)
		for range 2 {
			if l.Take(t.Context(), limited) {
				t.Fatal("granted")
			}
			time.Sleep(longestWait + time.Second)
		}
		if asked < 2 {
			t.Errorf("asked %d times in %s", asked, 2*longestWait)
		}
	})
}
