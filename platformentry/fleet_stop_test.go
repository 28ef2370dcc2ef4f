package platformentry_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
)

const (
	// fleetStopTrial is how long callers send requests, fleetStopGap the time from an answer to the
	// next request of a caller.
	fleetStopTrial = 20 * time.Second
	fleetStopGap   = 50 * time.Millisecond
	// fleetStopList is how long a caller keeps a list of addresses.
	fleetStopList = time.Second
	// fleetStopEvents and fleetStopPause make streams of 1.2 s.
	fleetStopEvents = 12
	fleetStopPause  = 100 * time.Millisecond
	// fleetSettleTime is the time in which all hosts know each other.
	fleetSettleTime = 15 * time.Second
	// fleetStopWave is the time between the stops of two groups of hosts.
	fleetStopWave = 5 * time.Second
)

var large = flag.Bool("large", false, "also stop a fleet of 195 hosts (half a minute without the race detector, 2 GB)")

// fleetStop stops a fleet, a group of hosts after the other, while callers use it.
type fleetStop struct {
	hosts, workers, callers int
	// group is the number of hosts that stop together. They are started again.
	group int

	t  *testing.T
	d  *deployment
	mu sync.Mutex
	// answered and refused count requests, unsent those that found no host at their address.
	answered, refused, unsent int
	// broken describes requests that a host took and did not answer in full.
	broken []string
}

func (c *fleetStop) play(t *testing.T) {
	t.Helper()
	c.t, c.d = t, newVirtualDeployment(t)
	for i := range c.workers {
		zone := []string{"z-a", "z-b"}[i%2]
		for _, w := range []*platformtest.Worker{
			c.d.newWorker(fmt.Sprint("led-", i), "ledger", zone, ""),
			c.d.newWorker(fmt.Sprint("dec-", i), "models", zone, "decode"),
			c.d.newWorker(fmt.Sprint("pre-", i), "models", zone, "prefill"),
		} {
			c.d.workers[w.ID] = w
			w.SetLatency(fleetStopPause)
			w.SetStream(fleetStopEvents, fleetStopPause)
			w.Register(c.d.store, "ready")
			t.Cleanup(w.Close)
		}
	}
	for i := range c.hosts {
		c.d.startHost(fmt.Sprintf("host-%d", i), []string{"z-a", "z-b"}[i%2])
	}
	time.Sleep(fleetSettleTime) // Address lists are shorter than large fleets.
	hosts := c.d.hosts
	until := time.Now().Add(fleetStopTrial)
	var running sync.WaitGroup
	for n := range c.callers {
		running.Go(func() { c.call(n, until) })
	}
	for i := 0; i+c.group <= len(hosts) && time.Now().Before(until); i += c.group {
		running.Go(func() { c.restart(hosts[i : i+c.group]) })
		time.Sleep(fleetStopWave)
	}
	running.Wait()
	c.report()
}

// restart makes a planned stop of some hosts and starts them again.
func (c *fleetStop) restart(hosts []*host) {
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		if err := <-h.done; err != nil {
			c.t.Errorf("%s: %v", h.settings.Host, err)
		}
		c.mu.Lock()
		c.d.runHost(&h.settings)
		c.mu.Unlock()
	}
}

// addresses returns a list of addresses that any host gives out.
func (c *fleetStop) addresses(caller int) []string {
	for {
		c.mu.Lock()
		h := c.d.hosts[rand.IntN(len(c.d.hosts))]
		c.mu.Unlock()
		if list := c.d.addressesIn(h, []string{"z-a", "z-b"}[caller%2]); len(list) > 0 {
			return list
		}
		time.Sleep(fleetStopGap)
	}
}

// call sends requests of all kinds in turn to the hosts of the caller's list.
func (c *fleetStop) call(caller int, until time.Time) {
	var list []string
	var readAt time.Time
	for n := caller; time.Now().Before(until); n++ {
		if time.Since(readAt) > fleetStopList {
			list, readAt = c.addresses(caller), time.Now()
		}
		path := []string{"/status/", "/filing/", "/draft/", "/note/"}[n%4]
		h := &host{}
		h.settings.Callers = list[rand.IntN(len(list))]
		got := c.d.send(h, "POST", fmt.Sprint(path, caller, "-", n), nil)
		c.count(path, h.settings.Callers, got)
		time.Sleep(fleetStopGap)
	}
}

func (c *fleetStop) count(path, address string, got response) {
	stream := strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/note/")
	ran := c.d.executions(got.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case got.status == http.StatusOK && got.err == nil && (!stream || len(eventIDs(got.body)) == fleetStopEvents):
		c.answered++
	case got.status == http.StatusServiceUnavailable && got.err == nil && ran == 0:
		c.refused++
	case errors.Is(got.err, syscall.ECONNREFUSED):
		c.unsent++
	default:
		c.broken = append(c.broken, fmt.Sprintf("%s at %s: status %d, %d events, ran %d times, %v", path, address, got.status, len(eventIDs(got.body)), ran, got.err))
	}
}

func (c *fleetStop) report() {
	c.t.Logf("%d answered, %d refused as not run, %d found no host, %d broken", c.answered, c.refused, c.unsent, len(c.broken))
	if len(c.broken) > 0 {
		knownred.Errorf(c.t, "%d requests were taken and not answered: %q", len(c.broken), c.broken[:min(len(c.broken), 5)])
	}
	if total := c.answered + c.refused + c.unsent; c.answered < total*95/100 {
		knownred.Errorf(c.t, "%d of %d requests were answered", c.answered, total)
	}
}

// Planned stops under load must cut off nothing that a host has taken, whatever share of the fleet
// stops together.
func TestPlannedStopsOfAFleetCutNothingOff(t *testing.T) {
	trials := map[string]*fleetStop{
		"one-by-one": {hosts: 6, workers: 6, callers: 24, group: 1},
		"a-third":    {hosts: 24, workers: 12, callers: 64, group: 8},
	}
	if *large {
		trials["of-195-hosts"] = &fleetStop{hosts: 195, workers: 30, callers: 150, group: 40}
	}
	for name, trial := range trials {
		t.Run(name, func(t *testing.T) { playTrial(t, trial.play) })
	}
}
