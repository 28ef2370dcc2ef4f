package platformentry_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// cutLength is how long hosts are cut. Requests are counted from contactTime after its
	// beginning, and again from contactTime after its end for afterCut.
	cutLength = contactTime + 3*time.Second
	afterCut  = time.Second
	// beforeCut is how long callers send requests before it.
	beforeCut = 300 * time.Millisecond
	// cutMargin is the time before the end of the cut whose requests are not counted.
	cutMargin = 300 * time.Millisecond
	// cutDeadline is how long callers wait for an answer, in milliseconds.
	cutDeadline = "2500"
	// cutCallers is the number of callers at each host, cutGap the time from an answer to the
	// next request.
	cutCallers = 2
	cutGap     = 80 * time.Millisecond
	// cutWorkers is the number of workers of each kind.
	cutWorkers = 3
	// minCutShare is the share of what the other hosts serve that cut hosts must serve.
	minCutShare = 2.0 / 3
	// maxCutRefusalDelay is how long a request may be held that no host can serve.
	maxCutRefusalDelay = time.Second
)

// cutTrial cuts some hosts from all workers while callers send requests to all hosts.
type cutTrial struct {
	path       string
	mode       platformtest.LinkMode
	hosts, cut int
	// only selects the workers that cut hosts lose; nil for all.
	only func(w *platformtest.Worker) bool
	// workersGone ends all workers instead of cutting hosts.
	workersGone bool
	// oneByOne brings the links back one after the other in the second half of the cut.
	oneByOne bool
	// workers is the number of workers of each kind; 0 means cutWorkers.
	workers int

	t     *testing.T
	d     *deployment
	links map[*host]*platformtest.HostLinks
	mu    sync.Mutex
	began time.Time
	// cutServed and otherServed count the requests of the time that counts.
	cutServed, otherServed, healed served
	slowestRefusal                 time.Duration
	untrue                         []string
}

// served counts requests, those that were answered, and other answers by status.
type served struct {
	sent, answered int
	statuses       map[int]int
}

func (s *served) count(got response) {
	if s.statuses == nil {
		s.statuses = make(map[int]int)
	}
	s.sent++
	s.statuses[got.status]++
	if got.status == http.StatusOK && got.err == nil {
		s.answered++
	}
}

func (s *served) share() float64 { return float64(s.answered) / float64(max(1, s.sent)) }

func (c *cutTrial) play(t *testing.T) {
	t.Helper()
	c.t, c.links = t, make(map[*host]*platformtest.HostLinks)
	c.start()
	over := func() bool { return c.since(time.Now()) > cutLength+contactTime+afterCut }
	var callers sync.WaitGroup
	for i, h := range c.d.hosts {
		for range cutCallers {
			callers.Go(func() { c.send(h, i < c.cut, over) })
		}
	}
	time.Sleep(beforeCut)
	c.begin()
	began := time.Now()
	c.mu.Lock()
	c.began = began
	c.mu.Unlock()
	time.Sleep(cutLength / 2)
	if c.oneByOne {
		c.heal("dec-0", "pre-0", "led-0")
	}
	time.Sleep(time.Until(began.Add(cutLength)))
	c.heal()
	callers.Wait()
	c.report()
}

// start starts the store, the workers and the hosts with their links.
func (c *cutTrial) start() {
	c.t.Helper()
	t := c.t
	c.d = newVirtualDeployment(t)
	for i := range cmp.Or(c.workers, cutWorkers) {
		for _, w := range []*platformtest.Worker{
			c.d.newWorker(fmt.Sprint("led-", i), "ledger", "z-a", ""),
			c.d.newWorker(fmt.Sprint("dec-", i), "models", "z-b", "decode"),
			c.d.newWorker(fmt.Sprint("pre-", i), "models", "z-a", "prefill"),
		} {
			c.d.workers[w.ID] = w
			w.SetStream(5, 10*time.Millisecond)
			w.Register(c.d.store, "ready")
			t.Cleanup(w.Close)
		}
	}
	for i := range c.hosts {
		links := platformtest.NewHostLinks(c.d.store)
		t.Cleanup(links.Close)
		storeAddress := links.StoreAddress()
		if c.workersGone {
			storeAddress = c.d.store.Address() // A link accepts connections also without its worker.
		}
		h := c.d.startHostAt(fmt.Sprintf("host-%d", i), []string{"z-a", "z-b", "z-c"}[i%3], storeAddress)
		c.links[h] = links
	}
	for _, h := range c.d.hosts {
		c.d.waitFor("upstreams known", func() bool {
			return c.d.send(h, "GET", "/status/x", nil).status == 200 && c.d.send(h, "POST", "/draft/x", nil).status == 200
		})
	}
	c.d.waitForMembers()
}

// since returns the time since the hosts were cut, negative before.
func (c *cutTrial) since(t time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began.IsZero() {
		return -1
	}
	return t.Sub(c.began)
}

// begin cuts the hosts, or ends all workers.
func (c *cutTrial) begin() {
	if c.workersGone {
		for _, w := range c.d.workers {
			w.Close()
		}
		return
	}
	lost := make(map[string]bool)
	for _, w := range c.d.workers {
		lost[w.Address()] = c.only == nil || c.only(w)
	}
	c.set(c.mode, func(address string) bool { return lost[address] })
}

// heal brings the links to some workers back, or all of them.
func (c *cutTrial) heal(only ...string) {
	back := make(map[string]bool)
	for _, id := range only {
		back[c.d.workers[id].Address()] = true
	}
	c.set(platformtest.LinkOpen, func(address string) bool { return len(only) == 0 || back[address] })
}

// set changes the links of the cut hosts to some workers.
func (c *cutTrial) set(mode platformtest.LinkMode, selects func(address string) bool) {
	var changing sync.WaitGroup
	for _, h := range c.d.hosts[:c.cut] {
		changing.Go(func() { c.links[h].SetSome(mode, selects) })
	}
	changing.Wait()
}

func (c *cutTrial) send(h *host, cut bool, over func() bool) {
	for n := 0; !over(); n++ {
		sent := time.Now()
		got := c.d.sendBody(h, "POST", fmt.Sprint(c.path, n), http.Header{wire.HeaderDeadline: {cutDeadline}}, fmt.Sprint("body ", n))
		c.count(got, cut, c.since(sent), time.Since(sent))
		time.Sleep(cutGap)
	}
}

func (c *cutTrial) count(got response, cut bool, at, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	once := strings.HasPrefix(c.path, "/filing/") || strings.HasPrefix(c.path, "/draft/")
	if ran := c.d.executions(got.id); once && (ran > 1 || got.status == http.StatusServiceUnavailable && ran > 0) && len(c.untrue) < 5 {
		c.untrue = append(c.untrue, fmt.Sprintf("%s after %s: status %d, ran %d times", got.id, at, got.status, ran))
	}
	if strings.Contains(got.body, string(domain.RefusalQuarantined)) && len(c.untrue) < 5 {
		c.untrue = append(c.untrue, fmt.Sprintf("%s after %s: refused as if it crashed upstreams", got.id, at))
	}
	if at > cutLength+contactTime {
		c.healed.count(got)
		return
	}
	if at > contactTime && at < cutLength-cutMargin && (got.status != http.StatusOK || at+took > cutLength) {
		c.slowestRefusal = max(c.slowestRefusal, took)
	}
	if at+took > cutLength {
		// It may have waited until the links were back.
		got.status = 0
	}
	switch {
	case at < contactTime || at > cutLength-cutMargin:
	case cut:
		c.cutServed.count(got)
	default:
		c.otherServed.count(got)
	}
}

func (c *cutTrial) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("cut hosts answered %d of %d %v, the others %d of %d %v, %d of %d after the cut, refused within %s, untrue %q",
		c.cutServed.answered, c.cutServed.sent, c.cutServed.statuses, c.otherServed.answered, c.otherServed.sent, c.otherServed.statuses,
		c.healed.answered, c.healed.sent, c.slowestRefusal.Round(time.Millisecond), c.untrue)
	if len(c.untrue) > 0 {
		knownred.Errorf(c.t, "untrue refusals or calls that ran twice: %q", c.untrue)
	}
	if c.cut < c.hosts && !c.workersGone && c.cutServed.share() < minCutShare*c.otherServed.share() {
		knownred.Errorf(c.t, "cut hosts answered %d of %d requests, the others %d of %d", c.cutServed.answered, c.cutServed.sent, c.otherServed.answered, c.otherServed.sent)
	}
	if c.cut < c.hosts && !c.workersGone && c.otherServed.share() < 0.95 {
		knownred.Errorf(c.t, "the other hosts answered %d of %d requests", c.otherServed.answered, c.otherServed.sent)
	}
	if (c.cut == c.hosts || c.workersGone) && c.slowestRefusal > maxCutRefusalDelay {
		knownred.Errorf(c.t, "a request that no host can serve was refused after %s, want it told at once", c.slowestRefusal)
	}
	if !c.workersGone && c.healed.share() < 0.95 {
		knownred.Errorf(c.t, "%d of %d requests were answered after the cut", c.healed.answered, c.healed.sent)
	}
}

// Callers of hosts that have lost their links to all upstreams must be served about as well as
// those of the others, and refused at once where no host reaches one.
func TestHostsCutFromUpstreamsServe(t *testing.T) {
	for name, trial := range map[string]*cutTrial{
		"repeatable-hang":    {path: "/status/", mode: platformtest.LinkHang, hosts: 5, cut: 2},
		"repeatable-reset":   {path: "/status/", mode: platformtest.LinkReset, hosts: 4, cut: 3},
		"repeatable-refuse":  {path: "/status/", mode: platformtest.LinkRefuse, hosts: 5, cut: 2},
		"repeatable-one-way": {path: "/status/", mode: platformtest.LinkOneWay, hosts: 5, cut: 2},
		"send-once-hang":     {path: "/filing/", mode: platformtest.LinkHang, hosts: 6, cut: 4},
		"send-once-reset":    {path: "/filing/", mode: platformtest.LinkReset, hosts: 5, cut: 2},
		"send-once-one-way":  {path: "/filing/", mode: platformtest.LinkOneWay, hosts: 5, cut: 2},
		"stream-hang":        {path: "/draft/", mode: platformtest.LinkHang, hosts: 5, cut: 2},
		"stream-reset":       {path: "/draft/", mode: platformtest.LinkReset, hosts: 5, cut: 2},
		"stream-refuse":      {path: "/draft/", mode: platformtest.LinkRefuse, hosts: 5, cut: 2},
		"resumable-hang":     {path: "/note/", mode: platformtest.LinkHang, hosts: 5, cut: 2},
		"resumable-reset":    {path: "/note/", mode: platformtest.LinkReset, hosts: 5, cut: 3},
		"one-service":        {path: "/filing/", mode: platformtest.LinkHang, hosts: 5, cut: 2, only: func(w *platformtest.Worker) bool { return w.Service == "ledger" }},
		"one-by-one":         {path: "/filing/", mode: platformtest.LinkHang, hosts: 5, cut: 2, oneByOne: true},
		"all-hosts-hang":     {path: "/filing/", mode: platformtest.LinkHang, hosts: 4, cut: 4},
		"all-hosts-reset":    {path: "/note/", mode: platformtest.LinkReset, hosts: 4, cut: 4},
		"workers-gone":       {path: "/status/", hosts: 4, workersGone: true},
	} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, trial.play)
		})
	}
}

// The work for a caller who leaves must end also if another host has passed the request on, and
// the other host must know the caller, the identifier, the body and the remaining time.
func TestHopKeepsWhatTheCallerSent(t *testing.T) {
	playTrial(t, testHop)
}

func testHop(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 3, cut: 1, mode: platformtest.LinkReset, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	c.begin()
	time.Sleep(contactTime)
	h := c.d.hosts[0]
	got := c.d.sendBody(h, "POST", "/filing/x?y=1", http.Header{"X-Own": {"kept"}, wire.HeaderDeadline: {"5000"}}, "the body")
	if got.status != http.StatusOK || c.d.executions(got.id) != 1 {
		t.Fatalf("status %d %s, ran %d times", got.status, got.body, c.d.executions(got.id))
	}
	for _, w := range c.d.workers {
		header := w.Header(got.id)
		if header == nil {
			continue
		}
		if left, _ := wire.Deadline(header); header.Get("X-Own") != "kept" || w.Body(got.id) != "the body" || left > 5*time.Second || left < 4*time.Second {
			t.Errorf("the upstream got %v with the body %q", header, w.Body(got.id))
		}
		if header.Get(wire.HeaderHopCaller) != "" || header.Get(wire.HeaderHopVersion) != "" {
			t.Errorf("the upstream got headers between hosts: %v", header)
		}
	}
	for _, w := range c.d.workers {
		w.SetStream(1000, 20*time.Millisecond)
	}
	ctx, leave := context.WithCancel(t.Context())
	_, resp, err := c.d.open(ctx, h, "/draft/x", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("no stream: %v", err)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	leave()
	_ = resp.Body.Close()
	c.d.waitFor("the work of a caller who left has ended", func() bool {
		for _, w := range c.d.workers {
			if w.Streaming() > 0 {
				return false
			}
		}
		return true
	})
}
