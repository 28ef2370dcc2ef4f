package dispatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/traffic"
)

// An upstream that this host cannot reach must cost requests no more once it is known, also if
// others are reached, and must be used again once its link is back.
func TestUnreachedUpstreamIsProbedWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		var reached atomic.Bool
		lost := 0
		f.call = func(up *traffic.Upstream) (*traffic.Answer, error) {
			if up.ID == "p1" && !reached.Load() {
				lost++
				return nil, errConnectionRefused
			}
			if up.ID == "p2" {
				time.Sleep(300 * time.Millisecond) // The other one is preferred whenever it may be used.
			}
			return &traffic.Answer{Status: 200}, nil
		}
		f.listening = func(up *traffic.Upstream) (bool, error) { return up.ID != "p1" || reached.Load(), nil }
		serve := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if caller := f.serve("/once/x", &fakeCaller{}); caller.answer == nil {
					t.Fatalf("refusal %v", caller.refusal)
				}
			}
		}
		serve(20 * time.Second)
		if lost > unhealthyAfterFailures {
			t.Errorf("%d requests were sent to an upstream that is not reached", lost)
		}
		reached.Store(true)
		before := f.count("call p1")
		serve(30 * time.Second)
		if f.count("call p1") == before {
			t.Error("the upstream is not used though its link is back")
		}
	})
}
