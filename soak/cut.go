package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
)

const (
	// cutCounted is how long requests are counted after the hosts have had the time to notice
	// that they are cut.
	cutCounted = 2 * time.Second
	// minCutShare is the share of what the other hosts serve that cut hosts must serve, if
	// there were minCutRequests at least.
	minCutShare    = 2.0 / 3
	minCutRequests = 10
)

// cut counts what hosts serve that are cut from all workers at the end of a run, and what the
// others serve.
type cut struct {
	mu    sync.Mutex
	hosts map[*host]bool
	// from and to bound the time in which requests are counted.
	from, to                                       time.Time
	cutSent, cutAnswered, otherSent, otherAnswered int
}

// cutHosts cuts some hosts from all workers, without any other fault, for a while.
func (r *run) cutHosts() {
	mode := platformtest.LinkMode(1 + r.draw.IntN(int(platformtest.LinkOneWay)))
	chosen := make(map[*host]bool)
	for _, i := range r.draw.Perm(len(r.hosts))[:1+r.draw.IntN(len(r.hosts)-1)] {
		chosen[r.hosts[i]] = true
	}
	r.cut.mu.Lock()
	r.cut.hosts, r.cut.from = chosen, time.Now().Add(2*contactTime)
	r.cut.to = r.cut.from
	r.cut.mu.Unlock()
	var cutting sync.WaitGroup
	for h := range chosen {
		cutting.Go(func() { h.workers.Set(mode) })
	}
	cutting.Wait()
	r.cut.mu.Lock()
	r.cut.from = time.Now().Add(contactTime)
	r.cut.to = r.cut.from.Add(cutCounted)
	r.cut.mu.Unlock()
	time.Sleep(contactTime + cutCounted + callerWait/4)
	for h := range chosen {
		h.workers.Set(platformtest.LinkOpen)
	}
}

const (
	// brokenLength is how long workers break off runs while hosts are cut from them, with
	// brokenCallers further callers that wait for brokenWait.
	brokenLength  = 3 * time.Second
	brokenCallers = 16
	brokenWait    = time.Second
)

// cutHostsBesideBrokenWorkers cuts some hosts from all workers, lets them notice it, and has half
// of the runs fail then, while more callers ask for what may run again.
func (r *run) cutHostsBesideBrokenWorkers(ctx context.Context) {
	chosen := r.draw.Perm(len(r.hosts))[:max(1, len(r.hosts)/3)]
	for _, i := range chosen {
		r.hosts[i].workers.Set(platformtest.LinkHang)
	}
	time.Sleep(contactTime)
	for _, w := range r.currentWorkers() {
		fault := []platformtest.Fault{platformtest.FaultNoResponse, platformtest.FaultReset}[r.draw.IntN(2)]
		if w.Stage == "decode" {
			fault = platformtest.FaultCut
		}
		r.breakEachSecond(w, fault, brokenLength)
	}
	r.broken.Store(true)
	until := time.Now().Add(brokenLength)
	var callers sync.WaitGroup
	for n := range brokenCallers {
		callers.Go(func() {
			client := &http.Client{Transport: httplimit.Transport(&http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}), Timeout: callerWait}
			defer client.CloseIdleConnections()
			for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%08x%08x", brokenCaller+n, i+1)
				k := []kind{kindStatus, kindNote}[n%2]
				r.try(client, r.hosts[chosen[i%len(chosen)]], k, try{id: id, first: id, content: id, parts: soundParts[0], wait: brokenWait, versions: make(map[string]bool)})
			}
		})
	}
	callers.Wait()
	for _, i := range chosen {
		r.hosts[i].workers.Set(platformtest.LinkOpen)
	}
}

// brokenCaller is the number of the first of these callers, beyond all others.
const brokenCaller = 1 << 24

// begun reports whether a host was cut from all workers so short a time before that it need not
// know it. Only the workers with a limit may be left to it then.
func (c *cut) begun(h *host, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[h] && at.Before(c.from)
}

// count counts a request that was sent to a host.
func (c *cut) count(h *host, sent time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts == nil || sent.Before(c.from) || sent.After(c.to) {
		return
	}
	n := 0
	if answered {
		n = 1
	}
	if c.hosts[h] {
		c.cutSent, c.cutAnswered = c.cutSent+1, c.cutAnswered+n
	} else {
		c.otherSent, c.otherAnswered = c.otherSent+1, c.otherAnswered+n
	}
}

// checkCut checks that the callers of cut hosts were served about as well as those of the
// others.
func (r *run) checkCut() {
	c := &r.cut
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutSent < minCutRequests || c.otherSent < minCutRequests {
		return
	}
	cutShare, otherShare := float64(c.cutAnswered)/float64(c.cutSent), float64(c.otherAnswered)/float64(c.otherSent)
	if cutShare < minCutShare*otherShare {
		r.ledger.find("%d hosts that were cut from all workers answered %d of %d requests, the others %d of %d",
			len(c.hosts), c.cutAnswered, c.cutSent, c.otherAnswered, c.otherSent)
	}
}
