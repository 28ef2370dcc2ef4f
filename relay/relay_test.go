package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// fakeNet holds one upstream and the hosts around it.
type fakeNet struct {
	ports.Upstreams
	members []domain.Member
	// direct is the upstream's answer to the own host, and hangs says that it
	// comes only when the call's time is over.
	direct error
	hangs  bool
	// reach holds the hosts that reach the upstream; calls to the others hang.
	reach map[domain.HostID]bool
	asked []domain.HostID
}

func (f *fakeNet) Engine(domain.Upstream) ports.Engine        { return fakeEngine{net: f} }
func (f *fakeNet) Self() domain.Member                        { return f.members[0] }
func (f *fakeNet) Members() []domain.Member                   { return f.members }
func (f *fakeNet) GatePeer(host domain.HostID) ports.GatePeer { return fakeGate{net: f, host: host} }

func (f *fakeNet) canceler(set *counters.Set) *Canceler {
	return New(Config{Upstreams: f, Membership: f, Peers: f, Counters: set})
}

type fakeEngine struct {
	ports.Engine
	net *fakeNet
}

func (e fakeEngine) Cancel(ctx context.Context, _ domain.AttemptID) error {
	if e.net.hangs {
		<-ctx.Done()
	}
	return e.net.direct
}

type fakeGate struct {
	ports.GatePeer
	net  *fakeNet
	host domain.HostID
}

func (g fakeGate) Cancel(ctx context.Context, _ domain.PoolName, _ domain.UpstreamID, _ domain.AttemptID) error {
	g.net.asked = append(g.net.asked, g.host)
	if g.net.reach[g.host] {
		return nil
	}
	<-ctx.Done()
	return ports.ErrPeerUnreachable
}

func alive(id domain.HostID, zone domain.Zone) domain.Member {
	return domain.Member{ID: id, Zone: zone, State: domain.MemberAlive}
}

// newNet returns a cut network: the own host is h1 in dakar-1, the upstream lies
// in dakar-2, and host h3 in dakar-3 reaches both.
func newNet() *fakeNet {
	return &fakeNet{
		members: []domain.Member{
			alive("h1", "dakar-1"), alive("h2", "dakar-2"), alive("h3", "dakar-3"), alive("h4", "lima-1"), alive("h5", "dakar-1"),
		},
		direct: &ports.EngineError{Kind: ports.EngineUnreachable},
		hangs:  true,
		reach:  map[domain.HostID]bool{"h3": true},
	}
}

func attempt() Attempt {
	return Attempt{
		ID:       domain.AttemptID{Caller: "firm-a", Request: "r", Attempt: 1},
		Pool:     "drafting",
		Upstream: domain.Upstream{ID: "decode-1", Zone: "dakar-2"},
	}
}

func TestCancelGoesRoundACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, set := newNet(), counters.NewSet()
		began := time.Now()
		if err := net.canceler(set).Cancel(t.Context(), attempt()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != defaultTimeout+askTimeout {
			t.Errorf("took %v, want one direct call and one failed try", took)
		}
		if want := []domain.HostID{"h2", "h3"}; !slices.Equal(net.asked, want) {
			t.Errorf("asked %v, want %v", net.asked, want)
		}
		if set.Int(counterAsked).Value() != 2 || set.Int(counterDone).Value() != 1 {
			t.Errorf("counted %d asked, %d done", set.Int(counterAsked).Value(), set.Int(counterDone).Value())
		}
	})
}

// TestDeadUpstreamRests checks the bound of messages about an upstream that no
// host reaches.
func TestDeadUpstreamRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNet()
		net.hangs, net.reach = false, nil
		c := net.canceler(nil)
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			if err := c.Cancel(t.Context(), attempt()); err == nil {
				t.Fatal("a dead upstream acknowledged")
			}
			time.Sleep(100 * time.Millisecond)
		}
		// A round asks 4 hosts for 2 s and is followed by 2 s of rest.
		if len(net.asked) > 12 {
			t.Errorf("asked %d times in 10 s", len(net.asked))
		}
		net.reach = map[domain.HostID]bool{"h2": true}
		time.Sleep(restTime)
		if err := c.Cancel(t.Context(), attempt()); err != nil {
			t.Errorf("after the rest: %v", err)
		}
	})
}

// TestNobodyIsAskedWhereTheUpstreamAnswered checks that only lost calls are
// relayed.
func TestNobodyIsAskedWhereTheUpstreamAnswered(t *testing.T) {
	for _, err := range []error{nil, &ports.EngineError{Kind: ports.EngineInvalid}} {
		net := newNet()
		net.hangs, net.direct = false, err
		if got := net.canceler(nil).Cancel(t.Context(), attempt()); got != err {
			t.Errorf("got %v, want %v", got, err)
		}
		if len(net.asked) != 0 {
			t.Errorf("asked %v after %v", net.asked, err)
		}
	}
}

func TestChooseOneOfEachZone(t *testing.T) {
	members := newNet().members
	members = append(members, alive("h6", "dakar-2"), domain.Member{ID: "h7", Zone: "lima-2", State: domain.MemberSuspect})
	seen := make(map[domain.HostID]bool)
	for i := range 32 {
		hosts := choose(members[0], members, attempt(), time.UnixMilli(int64(i)))
		if len(hosts) != maxAsked || hosts[1] != "h3" || hosts[2] != "h4" || hosts[3] != "h5" {
			t.Fatalf("chose %v", hosts)
		}
		seen[hosts[0]] = true
	}
	if !seen["h2"] || !seen["h6"] || len(seen) != 2 {
		t.Errorf("of the upstream's zone %v were asked, want both hosts in turn", seen)
	}
}
