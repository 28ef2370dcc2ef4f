package platformentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
)

// copiesTrial sends copies of requests that crash upstreams to all hosts, again and again,
// beside other requests.
type copiesTrial struct {
	crashingFleet
	prefix    string
	hosts     int
	upstreams int
	// requests is the number of different crashing requests.
	requests int
	// callers is the number of addresses from which copies come in turn.
	callers int
	// storeMode is that of the store during the trial.
	storeMode platformtest.StoreMode

	// answered and failed count the other requests that were sent later than contactTime after
	// the third crash of each crashing request, while all upstreams were back.
	answered, failed int
	failures         []string
}

// trialCaller returns the transport of a caller with an address of its own.
func (c *crashingFleet) trialCaller(n int) http.RoundTripper {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return c.d.virtual.DialFrom(ctx, net.IPv4(127, 0, 1, byte(n+1)), address)
	}}
	c.t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// decidedAt returns the time of the third crash of the request that crashed three upstreams last,
// and false while some have not.
func (c *copiesTrial) decidedAt() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byPath) < c.requests {
		return time.Time{}, false
	}
	for _, path := range c.byPath {
		if len(path.crashes) < crashLimit {
			return time.Time{}, false
		}
		if third := path.crashes[crashLimit-1]; third.After(at) {
			at = third
		}
	}
	return at, true
}

// settleTime is the time in which hosts use an upstream that is back.
const settleTime = 1500 * time.Millisecond

// settled reports whether hosts must serve all other requests.
func (c *copiesTrial) settled() bool {
	at, ok := c.decidedAt()
	if !ok || time.Since(at) <= contactTime {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.crashes[len(c.crashes)-1]) > c.replacementDelay+settleTime
}

func (c *copiesTrial) over() bool {
	at, ok := c.decidedAt()
	return ok && time.Since(at) > contactTime+observedTime+c.replacementDelay
}

func (c *copiesTrial) play(t *testing.T) {
	t.Helper()
	c.events, c.pause = 5, 20*time.Millisecond
	c.crash = func(r *http.Request) platformtest.Fault {
		if !strings.Contains(r.URL.Path, crashingPath) {
			return platformtest.FaultNone
		}
		return platformtest.FaultCrash
	}
	c.start(t)
	for i := range c.upstreams {
		zone := []string{"z-a", "z-b"}[i%2]
		c.addWorker(fmt.Sprintf("led-%d", i), "ledger", zone, "")
		c.addWorker(fmt.Sprintf("dec-%d", i), "models", zone, "decode")
	}
	c.addWorker("pre-0", "models", "z-a", "prefill")
	hosts := c.startHosts(c.hosts)
	c.d.waitForMembers()
	c.d.store.SetMode(c.storeMode)
	defer c.d.store.SetMode(platformtest.StoreUp)
	var callers sync.WaitGroup
	for i, h := range hosts {
		for n := range c.requests {
			callers.Go(func() { c.sendCopies(h, i, n) })
		}
		callers.Go(func() { c.sendOthers(h, i) })
	}
	callers.Wait()
	c.report()
}

// sendCopies sends one of the crashing requests to a host until the trial is over.
func (c *copiesTrial) sendCopies(h *host, first, n int) {
	path := fmt.Sprintf("%s%s-%d", c.prefix, crashingPath, n)
	for sent := first; !c.over() && !c.t.Failed(); sent++ {
		c.d.sendVia(c.trialCaller(sent%c.callers), h, "POST", path, nil, "the same body")
		time.Sleep(resendDelay)
	}
}

// sendOthers sends other requests until the trial is over. Every second one is the same request,
// as of a caller that polls.
func (c *copiesTrial) sendOthers(h *host, caller int) {
	for n := 0; !c.over() && !c.t.Failed(); n++ {
		path := fmt.Sprintf("%spoll-%d", c.prefix, caller)
		if n%2 == 0 {
			path = fmt.Sprintf("%sother-%d-%d", c.prefix, caller, n)
		}
		settled := c.settled()
		got := c.d.sendBody(h, "POST", path, nil, "")
		if settled {
			c.count(path, got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *copiesTrial) count(path string, got response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got.status == 200 && got.err == nil {
		c.answered++
		return
	}
	c.failed++
	c.failures = append(c.failures, fmt.Sprintf("%s: %d %s %v", path, got.status, got.body, got.err))
}

func (c *copiesTrial) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for path, runs := range c.byPath {
		third := runs.crashes[crashLimit-1]
		late := len(runs.runs) - len(slices.DeleteFunc(slices.Clone(runs.runs), func(at time.Time) bool { return at.Sub(third) > contactTime }))
		c.t.Logf("%s: %d runs, %d late", path, len(runs.runs), late)
		if late > maxLateRuns {
			knownred.Errorf(c.t, "%s ran %d times later than %s after its third crash, want at most %d", path, late, contactTime, maxLateRuns)
		}
	}
	c.t.Logf("other requests, late: %d answered, %d failed", c.answered, c.failed)
	if c.failed > 0 {
		knownred.Errorf(c.t, "%d other requests failed later than %s after the third crash, with all upstreams back: %q",
			c.failed, contactTime, c.failures[:min(len(c.failures), 5)])
	}
	if c.answered == 0 {
		knownred.Errorf(c.t, "upstreams were never back for long enough to answer other requests")
	}
}

// Copies of a request that crashes upstreams must not be sent to further ones once three have
// crashed, whoever sends them, whatever else crashes, and whether or not hosts read the store.
func TestCopiesOfCrashingRequestAreNotSentOn(t *testing.T) {
	const slowReturn, quickReturn = 3200 * time.Millisecond, 800 * time.Millisecond
	for name, trial := range map[string]*copiesTrial{
		"many-callers":           {prefix: "/status/", hosts: 4, upstreams: 4, requests: 1, callers: 5, crashingFleet: crashingFleet{replacementDelay: slowReturn}},
		"many-callers-send-once": {prefix: "/filing/", hosts: 4, upstreams: 4, requests: 1, callers: 5, crashingFleet: crashingFleet{replacementDelay: slowReturn}},
		"many-callers-stream":    {prefix: "/draft/", hosts: 4, upstreams: 4, requests: 1, callers: 5, crashingFleet: crashingFleet{replacementDelay: slowReturn}},
		"several-store-busy": {
			prefix: "/filing/", hosts: 4, upstreams: 8, requests: 3, callers: 1, storeMode: platformtest.StoreBusy,
			crashingFleet: crashingFleet{replacementDelay: quickReturn, sameAddress: true},
		},
		"several-store-silent": {
			prefix: "/status/", hosts: 4, upstreams: 8, requests: 3, callers: 3, storeMode: platformtest.StoreSilent,
			crashingFleet: crashingFleet{replacementDelay: quickReturn, sameAddress: true},
		},
		"half-of-upstreams": {prefix: "/filing/", hosts: 4, upstreams: 8, requests: 1, callers: 1, crashingFleet: crashingFleet{
			replacementDelay: quickReturn, sameAddress: true,
			runsWell: func(w *platformtest.Worker) bool { return (w.ID[len(w.ID)-1]-'0')%2 == 0 },
		}},
	} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, trial.play)
		})
	}
}

// A request that many callers poll must be served again once the upstreams are back that ended
// together for another reason.
func TestPolledRequestIsServedAfterAllUpstreamsEnded(t *testing.T) {
	for name, mode := range map[string]platformtest.StoreMode{"store-up": platformtest.StoreUp, "store-silent": platformtest.StoreSilent} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, func(t *testing.T) {
				c := &crashingFleet{
					crash:       func(*http.Request) platformtest.Fault { return platformtest.FaultNone },
					sameAddress: true, replacementDelay: 2500 * time.Millisecond, latency: 100 * time.Millisecond,
				}
				c.start(t)
				for i := range 4 {
					c.addWorker(fmt.Sprintf("led-%d", i), "ledger", "z-a", "")
				}
				c.addWorker("dec-0", "models", "z-a", "decode")
				c.addWorker("pre-0", "models", "z-a", "prefill")
				hosts := c.startHosts(4)
				c.d.waitForMembers()
				c.d.store.SetMode(mode)
				defer c.d.store.SetMode(platformtest.StoreUp)
				ended := time.Now().Add(time.Second)
				mustServe := ended.Add(c.replacementDelay + contactTime)
				var callers sync.WaitGroup
				for n := range 16 {
					callers.Go(func() {
						caller := c.trialCaller(n)
						for time.Now().Before(mustServe.Add(2 * time.Second)) {
							sent := time.Now()
							got := c.d.sendVia(caller, hosts[n%len(hosts)], "POST", "/status/polled", nil, "")
							if sent.After(mustServe) && got.status != 200 {
								t.Errorf("%s after the end of all upstreams: %d %s %v", sent.Sub(ended), got.status, got.body, got.err)
								return
							}
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Until(ended))
				for _, w := range c.ledgers() {
					w.End(w.Version)
				}
				callers.Wait()
			})
		})
	}
}
