package host

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/simnet"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

const (
	// initialHosts and scaledOutHosts are the numbers of entry hosts in the
	// platform's list when the host starts and after the fleet has grown.
	initialHosts   = 10
	scaledOutHosts = 340
)

func addHosts(p *platform.Platform, from, to int) {
	for i := from; i < to; i++ {
		name := fmt.Sprintf("h%03d", i)
		p.SetHost(ports.ListedHost{Name: name, Zone: "dakar-1", PeerAddress: name, CallerAddress: name})
	}
}

// TestShareOfTheStoreCountsListedHosts guards against a host that exceeds its share
// of the table service's limits while the fleet grows quickly: hosts appear in the
// platform's list before they are in the membership view, and must be counted.
// Upstreams in the list must not be.
func TestShareOfTheStoreCountsListedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := platform.New(platform.Config{})
		addHosts(p, 0, initialHosts)
		p.SetHost(ports.ListedHost{Name: "decode-1", Zone: "dakar-1"})
		network := simnet.New(simnet.Config{})
		h := New(Config{
			Self:      domain.Member{ID: "h000", Zone: "dakar-1", PeerAddress: "h000", CallerAddress: "h000", State: domain.MemberAlive},
			Store:     p.Tables(),
			Objects:   p.Objects(),
			HostList:  p.Hosts(),
			Upstreams: network.Upstreams("h000", "dakar-1", func(domain.UpstreamID) (ports.Engine, bool) { return nil, false }),
			Clock:     ports.SystemClock{},
			Counters:  counters.NewSet(),
			MakePeers: func(Local) ports.Peers { return network.Peers("h000", "dakar-1") },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = h.Run(ctx)
		}()
		time.Sleep(50 * time.Millisecond)
		if n := h.knownHostCount(); n != initialHosts {
			t.Errorf("%d known hosts after the first poll of the host list, want %d", n, initialHosts)
		}
		addHosts(p, initialHosts, scaledOutHosts)
		time.Sleep(2 * time.Second)
		if n := h.knownHostCount(); n != scaledOutHosts {
			t.Errorf("%d known hosts after the fleet grew, want %d", n, scaledOutHosts)
		}
		cancel()
		<-done
	})
}
