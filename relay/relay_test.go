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

// fakeNetwork simulates one upstream and the entry hosts. It also implements the
// membership and the peers.
type fakeNetwork struct {
	ports.Upstreams
	members []domain.Member
	// direct is the result of a direct cancel. If directHangs is set, it is returned
	// only when the context of the call ends.
	direct      error
	directHangs bool
	// reachable holds the hosts that can reach the upstream; calls to the others
	// hang until their context ends.
	reachable map[domain.HostID]bool
	// asked lists the hosts through which a cancel was relayed, in order.
	asked []domain.HostID
}

func (f *fakeNetwork) Engine(domain.Upstream) ports.Engine { return fakeEngine{net: f} }
func (f *fakeNetwork) Self() domain.Member                 { return f.members[0] }
func (f *fakeNetwork) Members() []domain.Member            { return f.members }
func (f *fakeNetwork) GatePeer(host domain.HostID) ports.GatePeer {
	return fakeGate{net: f, host: host}
}

func (f *fakeNetwork) canceler(set *counters.Set) *Canceler {
	return New(Config{Upstreams: f, Membership: f, Peers: f, Counters: set})
}

type fakeEngine struct {
	ports.Engine
	net *fakeNetwork
}

func (e fakeEngine) Cancel(ctx context.Context, _ domain.AttemptID) error {
	if e.net.directHangs {
		<-ctx.Done()
	}
	return e.net.direct
}

type fakeGate struct {
	ports.GatePeer
	net  *fakeNetwork
	host domain.HostID
}

func (g fakeGate) Cancel(ctx context.Context, _ domain.PoolName, _ domain.UpstreamID, _ domain.AttemptID) error {
	g.net.asked = append(g.net.asked, g.host)
	if g.net.reachable[g.host] {
		return nil
	}
	<-ctx.Done()
	return ports.ErrPeerUnreachable
}

func aliveMember(id domain.HostID, zone domain.Zone) domain.Member {
	return domain.Member{ID: id, Zone: zone, State: domain.MemberAlive}
}

// newPartitionedNetwork returns a network with a partition between zones: this
// host is h1 in dakar-1, the upstream is in dakar-2, and only host h3 in dakar-3
// can reach both.
func newPartitionedNetwork() *fakeNetwork {
	return &fakeNetwork{
		members: []domain.Member{
			aliveMember("h1", "dakar-1"), aliveMember("h2", "dakar-2"), aliveMember("h3", "dakar-3"), aliveMember("h4", "lima-1"), aliveMember("h5", "dakar-1"),
		},
		direct:      &ports.EngineError{Kind: ports.EngineUnreachable},
		directHangs: true,
		reachable:   map[domain.HostID]bool{"h3": true},
	}
}

func testAttempt() Attempt {
	return Attempt{
		ID:       domain.AttemptID{Caller: "firm-a", Request: "r", Attempt: 1},
		Pool:     "drafting",
		Upstream: domain.Upstream{ID: "decode-1", Zone: "dakar-2"},
	}
}

func TestCancelIsRelayedAroundAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, set := newPartitionedNetwork(), counters.NewSet()
		start := time.Now()
		if err := net.canceler(set).Cancel(t.Context(), testAttempt()); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(start); elapsed != defaultDirectTimeout+relayTimeout {
			t.Errorf("Cancel returned after %v, want the timeouts of one direct call and one failed relay", elapsed)
		}
		if want := []domain.HostID{"h2", "h3"}; !slices.Equal(net.asked, want) {
			t.Errorf("relayed through %v, want %v", net.asked, want)
		}
		if set.Int(counterRelayed).Value() != 2 || set.Int(counterAcknowledged).Value() != 1 {
			t.Errorf("counted %d relayed and %d acknowledged cancels, want 2 and 1", set.Int(counterRelayed).Value(), set.Int(counterAcknowledged).Value())
		}
	})
}

// TestRelayBacksOffFromAnUnreachableUpstream checks that repeated cancels to an
// upstream that no host can reach cause a bounded number of relayed messages, and
// that relaying resumes after the backoff.
func TestRelayBacksOffFromAnUnreachableUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newPartitionedNetwork()
		net.directHangs, net.reachable = false, nil
		c := net.canceler(nil)
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			if err := c.Cancel(t.Context(), testAttempt()); err == nil {
				t.Fatal("Cancel succeeded although no host can reach the upstream")
			}
			time.Sleep(100 * time.Millisecond)
		}
		// A round tries 4 hosts, which takes 2 s, and is followed by 2 s of backoff.
		if len(net.asked) > 12 {
			t.Errorf("relayed %d cancels in 10 s, want at most 12", len(net.asked))
		}
		net.reachable = map[domain.HostID]bool{"h2": true}
		time.Sleep(relayBackoff)
		if err := c.Cancel(t.Context(), testAttempt()); err != nil {
			t.Errorf("after the backoff: %v", err)
		}
	})
}

// TestNoRelayWhenTheUpstreamAnswers checks that a cancel is relayed only if the
// upstream did not answer, not if it acknowledged or returned an error.
func TestNoRelayWhenTheUpstreamAnswers(t *testing.T) {
	for _, err := range []error{nil, &ports.EngineError{Kind: ports.EngineInvalid}} {
		net := newPartitionedNetwork()
		net.directHangs, net.direct = false, err
		if got := net.canceler(nil).Cancel(t.Context(), testAttempt()); got != err {
			t.Errorf("got %v, want %v", got, err)
		}
		if len(net.asked) != 0 {
			t.Errorf("relayed through %v after the answer %v", net.asked, err)
		}
	}
}

func TestChooseHostsPicksOnePerZone(t *testing.T) {
	members := newPartitionedNetwork().members
	members = append(members, aliveMember("h6", "dakar-2"), domain.Member{ID: "h7", Zone: "lima-2", State: domain.MemberSuspect})
	seen := make(map[domain.HostID]bool)
	for i := range 32 {
		hosts := chooseHosts(members[0], members, testAttempt(), time.UnixMilli(int64(i)))
		if len(hosts) != maxRelayHosts || hosts[1] != "h3" || hosts[2] != "h4" || hosts[3] != "h5" {
			t.Fatalf("chose %v, want a host of dakar-2, then h3, h4, h5", hosts)
		}
		seen[hosts[0]] = true
	}
	if !seen["h2"] || !seen["h6"] || len(seen) != 2 {
		t.Errorf("chose %v in the upstream's zone, want h2 and h6 in turn", seen)
	}
}
