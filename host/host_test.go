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
	// fewHosts and listedHosts are the numbers of entry hosts in the platform's
	// list when the host starts and soon after.
	fewHosts    = 10
	listedHosts = 340
)

func list(p *platform.Platform, from, to int) {
	for i := from; i < to; i++ {
		name := fmt.Sprintf("h%03d", i)
		p.SetHost(ports.ListedHost{Name: name, Zone: "dakar-1", PeerAddress: name, CallerAddress: name})
	}
}

// TestShareOfTheStoreCountsListedHosts starts one of the first hosts of a fleet
// that grows at once. It checks that the host counts all listed hosts for its share
// of the table service before the membership view has them.
func TestShareOfTheStoreCountsListedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := platform.New(platform.Config{})
		list(p, 0, fewHosts)
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
		if n := h.knownHosts(); n != fewHosts {
			t.Errorf("%d hosts known after the first list, want %d", n, fewHosts)
		}
		list(p, fewHosts, listedHosts)
		time.Sleep(2 * time.Second)
		if n := h.knownHosts(); n != listedHosts {
			t.Errorf("%d hosts known after the next list, want %d", n, listedHosts)
		}
		cancel()
		<-done
	})
}
