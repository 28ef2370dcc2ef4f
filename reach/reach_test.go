package reach

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	testService = traffic.ServiceName("models")
	// testDelay is the time of a message between hosts, and of opening a connection.
	testDelay = 10 * time.Millisecond
	// detectionTime is the time in which the platform expects a cut host to know it.
	detectionTime = 3 * time.Second
)

// linkState is how the links of a host to the upstreams are.
type linkState int

const (
	linksOpen linkState = iota
	linksHang
	linksReset
)

// fleet is a number of hosts before a few upstreams.
type fleet struct {
	monitors []*Monitor
	members  []domain.Member
	ups      []*traffic.Upstream

	mu    sync.Mutex
	links map[domain.HostID]linkState
	gone  map[domain.UpstreamID]bool
	dials int
}

func newFleet(ctx context.Context, hosts int) *fleet {
	f := &fleet{links: make(map[domain.HostID]linkState), gone: make(map[domain.UpstreamID]bool)}
	for i := range 6 {
		f.ups = append(f.ups, &traffic.Upstream{ID: domain.UpstreamID(fmt.Sprint("u", i)), Service: testService})
	}
	for i := range hosts {
		f.members = append(f.members, domain.Member{ID: domain.HostID(fmt.Sprint("h", i)), Zone: domain.Zone(fmt.Sprint("z", i%3)), State: domain.MemberAlive})
	}
	for _, member := range f.members {
		m := New(Config{
			Self: member.ID, Services: func() []traffic.ServiceName { return []traffic.ServiceName{testService} },
			Ready:     func(traffic.ServiceName) []*traffic.Upstream { return f.ups },
			Listening: func(ctx context.Context, up *traffic.Upstream) (bool, error) { return f.dial(ctx, member.ID, up) },
			Members:   func() []domain.Member { return f.members }, Counters: counters.NewSet(),
			Peer: func(host domain.HostID) ports.ReachPeer { return peer{f, host} },
		})
		f.monitors = append(f.monitors, m)
		go func() { _ = m.Run(ctx) }()
	}
	return f
}

func (f *fleet) set(state linkState, hosts ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range hosts {
		f.links[f.members[i].ID] = state
	}
}

func (f *fleet) dial(ctx context.Context, from domain.HostID, up *traffic.Upstream) (bool, error) {
	f.mu.Lock()
	f.dials++
	state, gone := f.links[from], f.gone[up.ID]
	f.mu.Unlock()
	if state == linksHang {
		<-ctx.Done()
		return false, ctx.Err()
	}
	time.Sleep(testDelay)
	return state == linksOpen && !gone, nil
}

type peer struct {
	f    *fleet
	host domain.HostID
}

func (p peer) Reach(ctx context.Context, query ports.ReachQuery) (ports.ReachReply, error) {
	time.Sleep(testDelay)
	for i, m := range p.f.members {
		if m.ID == p.host {
			return p.f.monitors[i].Reach(ctx, query)
		}
	}
	return ports.ReachReply{}, errors.New("no such host")
}

// A host without any request must know in time that it is cut and who can help, must not take
// itself for cut if the links are only slow to answer, and must know when they are back.
func TestCutIsNoticedWithoutRequests(t *testing.T) {
	for name, state := range map[string]linkState{"hang": linksHang, "reset": linksReset} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, 6)
				time.Sleep(10 * time.Second)
				f.set(state, 0, 1)
				time.Sleep(detectionTime)
				for i, m := range f.monitors {
					if m.Lost(testService) != (i < 2) {
						t.Errorf("host %d takes the service for lost: %v", i, m.Lost(testService))
					}
				}
				for _, helper := range f.monitors[0].Helpers(ctx, testService) {
					if helper == "h0" || helper == "h1" {
						t.Errorf("%s is to help, which is cut itself", helper)
					}
				}
				if n := len(f.monitors[0].Helpers(ctx, testService)); n != 4 {
					t.Errorf("%d hosts are to help, want 4", n)
				}
				f.set(linksOpen, 0, 1)
				time.Sleep(detectionTime / 2)
				if f.monitors[0].Lost(testService) {
					t.Error("the host does not know that its links are back")
				}
			})
		})
	}
}

// If no host reaches the service, nobody can help, and the tries are few.
func TestNobodyHelpsWhenAllAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 6)
		f.set(linksReset, 0, 1, 2, 3, 4, 5)
		time.Sleep(detectionTime)
		f.mu.Lock()
		f.dials = 0
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		for i, m := range f.monitors {
			if helpers := m.Helpers(ctx, testService); !m.Lost(testService) || len(helpers) != 0 {
				t.Errorf("host %d: lost %v, helpers %v", i, m.Lost(testService), helpers)
			}
		}
		if most := 6 * triedAtOnce * int(10*time.Second/lostInterval); f.dials > most {
			t.Errorf("%d connections tried in 10 s, want at most %d", f.dials, most)
		}
	})
}

// While upstreams answer requests, nothing is tried, and an upstream that is silent for a second
// is not lost.
func TestSoundLinksAreNotTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 2)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			f.monitors[0].Reached(testService)
			f.monitors[1].Reached(testService)
		}
		if f.dials != 0 {
			t.Errorf("%d connections were tried while upstreams answered", f.dials)
		}
		f.set(linksHang, 0, 1)
		time.Sleep(1200 * time.Millisecond)
		f.set(linksOpen, 0, 1)
		time.Sleep(time.Second)
		if f.monitors[0].Lost(testService) || f.monitors[1].Lost(testService) {
			t.Error("upstreams that were silent for a second are lost")
		}
	})
}

// An upstream that refuses one host has ended only if others find nothing listening either.
func TestEndOfAnUpstreamNeedsAWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 6)
		f.set(linksReset, 0, 1, 2)
		time.Sleep(detectionTime)
		if f.monitors[0].Ended(ctx, f.ups[0]) {
			t.Error("a link that resets was taken for the end of an upstream")
		}
		f.mu.Lock()
		f.gone[f.ups[0].ID] = true
		f.mu.Unlock()
		if !f.monitors[5].Ended(ctx, f.ups[0]) {
			t.Error("the end of an upstream was not noticed")
		}
		f.set(linksReset, 0, 1, 2, 3, 4, 5)
		time.Sleep(detectionTime)
		if f.monitors[5].Ended(ctx, f.ups[1]) {
			t.Error("hosts that are all cut took an upstream for ended")
		}
	})
}

// Where all hosts but one are cut, each of them must find the one that can help.
func TestTheOnlyHostWithLinksIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 60)
		for i := range 59 {
			f.set(linksHang, i)
		}
		time.Sleep(detectionTime + 2*time.Second)
		for i, m := range f.monitors[:59] {
			if helpers := m.Helpers(ctx, testService); len(helpers) != 1 || helpers[0] != "h59" {
				t.Errorf("host %d: helpers %v", i, helpers)
			}
		}
	})
}
