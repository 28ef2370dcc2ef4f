package membership

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// An update with the greatest incarnation could not be refuted: one malformed message took a host
// out of all views for good.
func TestOddUpdatesAreIgnored(t *testing.T) {
	for name, odd := range map[string]domain.Member{
		"greatest incarnation": {ID: hostID(1), State: domain.MemberDead, Incarnation: math.MaxUint64},
		"no state":             {ID: hostID(1), Incarnation: 1 << 50},
		"unknown state":        {ID: hostID(1), State: "asleep", Incarnation: 1 << 50},
		"no host":              {State: domain.MemberAlive, PeerAddress: "10.0.0.1:1", Incarnation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5)
				time.Sleep(maxColdStartTime(5))
				for _, to := range []int{0, 1, 2} {
					_, err := c.hosts[hostID(to)].Probe(t.Context(), ports.ProbeMessage{From: hostID(3), Updates: []domain.Member{odd}})
					if err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(maxDetectionTime(5))
				for id, h := range c.hosts {
					alive := 0
					for _, m := range h.Members() {
						if m.State == domain.MemberAlive {
							alive++
						}
					}
					if alive != 5 || len(h.Members()) != 5 {
						t.Errorf("%s sees %d of 5 hosts alive, %d in all", id, alive, len(h.Members()))
					}
				}
				if n := c.hosts[hostID(0)].counters.Int(defOdd).Value(); n != 1 {
					t.Errorf("%d odd updates counted", n)
				}
			})
		})
	}
}

// Random messages must neither stop a host nor take others out of its view for good.
func TestRandomUpdatesDoNotLast(t *testing.T) {
	draw := rand.New(rand.NewPCG(34, 3))
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		time.Sleep(maxColdStartTime(5))
		states := []domain.MemberState{domain.MemberAlive, domain.MemberSuspect, domain.MemberDead, "", "x"}
		for range 200 {
			msg := ports.ProbeMessage{From: hostID(draw.IntN(5)), Updates: []domain.Member{{
				ID: hostID(draw.IntN(5)), State: states[draw.IntN(len(states))], Incarnation: draw.Uint64() >> draw.IntN(64),
			}}}
			_, _ = c.hosts[hostID(draw.IntN(5))].Probe(context.Background(), msg) // Any answer will do.
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2*maxDetectionTime(5) + 2*hostListInterval(5))
		for id, h := range c.hosts {
			for _, m := range h.Members() {
				if m.State != domain.MemberAlive {
					t.Errorf("%s: %s is %s with incarnation %d", id, m.ID, m.State, m.Incarnation)
				}
			}
		}
	})
}
