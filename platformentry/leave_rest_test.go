package platformentry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// headerTrialHost and headerTrialSent say which host a caller sent a request to, and when.
	headerTrialHost, headerTrialSent = "Trial-Host", "Trial-Sent"
	// drainTime is the time after which a request must not reach an upstream that leaves, from
	// when its host has passed on that it does.
	drainTime = 2 * time.Second
	// restGrace is the time after a rejection from which on an upstream at rest must get no more
	// than maxRestRequests from that host.
	restGrace       = 500 * time.Millisecond
	maxRestRequests = 2
	// restTime is the time for which upstreams of a trial ask for rest.
	restTime = 3 * time.Second
	// wordTrial is how long requests are sent after the first word of an upstream.
	wordTrial = drainTime + 3*time.Second
)

// wordTrialRun sends requests to hosts while some upstreams say that they leave, or reject all
// requests and ask for rest.
type wordTrialRun struct {
	path  string
	hosts int
	// upstreams is the number of upstreams that may run the requests, speakers how many of them
	// say something.
	upstreams, speakers int
	// prefill makes them prefill engines.
	prefill bool
	// leaving is what they say of leaving, trailer says that it is in the trailers; rest is the
	// time for which they ask.
	leaving string
	trailer bool
	rest    string
	// rejects means that they reject requests without a word.
	rejects bool
	// ignored means that what they say must change nothing.
	ignored   bool
	storeMode platformtest.StoreMode

	t  *testing.T
	d  *deployment
	mu sync.Mutex
	// toldAt is when a host first passed on that an upstream leaves. rejected holds the times
	// at which an upstream asked a host for rest.
	toldAt   map[trialLink]time.Time
	rejected map[trialLink][]time.Time
	// restEnded means that upstreams no longer reject requests.
	restEnded bool
	// late holds the requests that reached an upstream although they must not; reached counts
	// those that reached a speaker.
	late, reached    int
	returned         map[string]time.Time
	answered, failed int
	// failedBefore is the number of those that failed before checkReturn.
	failedBefore   int
	failures       []string
	slowestRefusal time.Duration
}

// trialLink is a host and an upstream.
type trialLink struct{ host, upstream string }

func (c *wordTrialRun) kind() (service, stage, prefix string) { return upstreamsOf(c.path, c.prefill) }

func (c *wordTrialRun) addWorker(w *platformtest.Worker) {
	c.t.Cleanup(w.Close)
	w.SetFault(func(r *http.Request) platformtest.Fault {
		c.arrived(w.ID, r)
		if c.rejects && c.speaks(w.ID) && r.Header.Get(headerTrialSent) != "" {
			return platformtest.FaultReject
		}
		return platformtest.FaultNone
	})
	c.d.workers[w.ID] = w
	w.Register(c.d.store, "ready")
}

// arrived counts a request that reaches an upstream.
func (c *wordTrialRun) arrived(upstream string, r *http.Request) {
	sentNanos, err := strconv.ParseInt(r.Header.Get(headerTrialSent), 10, 64)
	if err != nil {
		return // A request before the trial.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	link, now := trialLink{r.Header.Get(headerTrialHost), upstream}, time.Now()
	if _, told := c.toldAt[link]; !told && c.prefill && c.leaving != "" && c.speaks(upstream) {
		c.toldAt[link] = now // The host reads the answer, and passes none on.
	}
	if told, ok := c.toldAt[link]; ok && time.Unix(0, sentNanos).After(told.Add(drainTime)) {
		c.late++
	}
	if !c.speaks(upstream) {
		return
	}
	c.reached++
	if c.rest == "" {
		return
	}
	for _, at := range c.rejected[link] {
		if since := now.Sub(at); since <= restGrace || since >= restTime {
			continue
		}
		if c.countSince(link, at) >= maxRestRequests {
			c.late++
			break
		}
	}
	if !c.restEnded {
		c.rejected[link] = append(c.rejected[link], now)
	}
}

// countSince returns the number of requests that reached an upstream from a host between the end
// of restGrace and restTime after a rejection.
func (c *wordTrialRun) countSince(link trialLink, rejected time.Time) int {
	n := 0
	for _, at := range c.rejected[link] {
		if since := at.Sub(rejected); since > restGrace && since < restTime {
			n++
		}
	}
	return n
}

// speaks reports whether an upstream says something in the trial.
func (c *wordTrialRun) speaks(upstream string) bool {
	_, _, prefix := c.kind()
	n, err := strconv.Atoi(strings.TrimPrefix(upstream, prefix+"-"))
	return err == nil && n < c.speakers
}

func (c *wordTrialRun) play(t *testing.T) {
	t.Helper()
	c.t, c.toldAt, c.rejected, c.returned = t, make(map[trialLink]time.Time), make(map[trialLink][]time.Time), make(map[string]time.Time)
	c.d = newVirtualDeployment(t)
	service, stage, prefix := c.kind()
	for i := range c.upstreams {
		c.addWorker(c.d.newWorker(fmt.Sprintf("%s-%d", prefix, i), service, []string{"z-a", "z-b"}[i%2], stage))
	}
	for _, other := range [][3]string{{"led", "ledger", ""}, {"pre", "models", "prefill"}, {"dec", "models", "decode"}} {
		if other[0] != prefix {
			c.addWorker(c.d.newWorker(other[0], other[1], "z-a", other[2]))
		}
	}
	for i := range c.hosts {
		c.d.startHost(fmt.Sprintf("host-%d", i), []string{"z-a", "z-b"}[i%2])
	}
	hosts := slices.Clone(c.d.hosts)
	for _, h := range hosts {
		c.d.waitFor("upstreams known", func() bool {
			return c.d.send(h, "GET", "/status/x", nil).status == 200 && c.d.send(h, "POST", "/draft/x", nil).status == 200
		})
	}
	c.d.store.SetMode(c.storeMode)
	defer c.d.store.SetMode(platformtest.StoreUp)
	for i := range c.speakers {
		w := c.d.workers[fmt.Sprintf("%s-%d", prefix, i)]
		w.SetLeaving(c.leaving)
		if c.trailer {
			w.SetLeavingTrailer()
		}
		w.SetRest(c.rest)
	}
	began := time.Now()
	var callers sync.WaitGroup
	for i, h := range hosts {
		for range 2 {
			callers.Go(func() {
				for time.Since(began) < wordTrial {
					c.send(h, i)
				}
			})
		}
	}
	callers.Wait()
	c.checkReturn(hosts)
	c.report()
}

// send sends one request to a host.
func (c *wordTrialRun) send(h *host, n int) {
	name, sent := strconv.Itoa(n), time.Now()
	header := http.Header{headerTrialHost: {name}, headerTrialSent: {strconv.FormatInt(sent.UnixNano(), 10)}}
	got := c.d.send(h, "POST", fmt.Sprintf("%sr-%d", c.path, sent.UnixNano()), header)
	c.mu.Lock()
	if got.header.Get(wire.HeaderLeaving) == "1" || c.trailer && c.speaks(strings.TrimPrefix(got.header.Get(wire.HeaderSeal), "seal-")) {
		link := trialLink{name, strings.TrimPrefix(got.header.Get(wire.HeaderSeal), "seal-")}
		if _, told := c.toldAt[link]; !told {
			c.toldAt[link] = time.Now()
		}
	}
	if got.status == 200 && got.err == nil {
		c.answered++
	} else {
		c.failed++
		c.slowestRefusal = max(c.slowestRefusal, time.Since(sent))
		c.failures = append(c.failures, fmt.Sprintf("%d %s %v retry after %q", got.status, got.body, got.err, got.header.Get(wire.HeaderRetryAfter)))
	}
	c.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// checkReturn checks that upstreams that no longer ask for rest are used again once it is over: the
// others ask for rest then.
func (c *wordTrialRun) checkReturn(hosts []*host) {
	c.mu.Lock()
	c.restEnded, c.failedBefore = true, c.failed
	c.mu.Unlock()
	if c.rest == "" || c.ignored {
		return
	}
	_, _, prefix := c.kind()
	var speakers []*platformtest.Worker
	before := make(map[string]int)
	for i := range c.speakers {
		w := c.d.workers[fmt.Sprintf("%s-%d", prefix, i)]
		w.SetRest("")
		speakers = append(speakers, w)
		before[w.ID] = len(w.Arrivals())
	}
	time.Sleep(restTime)
	for i := c.speakers; i < c.upstreams; i++ {
		c.d.workers[fmt.Sprintf("%s-%d", prefix, i)].SetRest("60")
	}
	c.d.waitFor("all upstreams used again after their rest", func() bool {
		for i, h := range hosts {
			c.send(h, i)
		}
		return !slices.ContainsFunc(speakers, func(w *platformtest.Worker) bool { return len(w.Arrivals()) == before[w.ID] })
	})
}

func (c *wordTrialRun) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d requests reached upstreams that had spoken, %d too late; %d answered, %d failed, the slowest after %s",
		c.reached, c.late, c.answered, c.failed, c.slowestRefusal.Round(time.Millisecond))
	if c.late > 0 && !c.ignored {
		knownred.Errorf(c.t, "%d requests reached upstreams that leave or rest, too late", c.late)
	}
	if c.ignored && c.reached == 0 {
		knownred.Errorf(c.t, "upstreams whose word means nothing are not used")
	}
	switch {
	case c.rejects:
	case c.speakers < c.upstreams && c.failedBefore > 0 && (c.rest == "" || c.failedBefore > c.reached):
		// A rejection may fail its own request, which must not be sent to a second upstream.
		knownred.Errorf(c.t, "%d requests failed though other upstreams serve: %q", c.failedBefore, c.failures[:min(len(c.failures), 3)])
	case c.speakers == c.upstreams && c.slowestRefusal > maxRefusalDelay:
		knownred.Errorf(c.t, "a request was held for %s though no upstream takes any", c.slowestRefusal)
	}
}

// Upstreams that say in an answer that they leave must get no requests from that host any more,
// whether or not it reads the store; the other requests are answered.
func TestUpstreamsThatSayTheyLeaveGetNoMoreRequests(t *testing.T) {
	for name, trial := range map[string]*wordTrialRun{
		"plain":                  {path: "/status/", hosts: 3, upstreams: 4, speakers: 1, leaving: "1"},
		"send-once-store-silent": {path: "/filing/", hosts: 3, upstreams: 4, speakers: 2, leaving: "1", storeMode: platformtest.StoreSilent},
		"stream":                 {path: "/draft/", hosts: 2, upstreams: 4, speakers: 1, leaving: "1"},
		"resumable-store-silent": {path: "/note/", hosts: 2, upstreams: 4, speakers: 2, leaving: "1", storeMode: platformtest.StoreSilent},
		"prefill":                {path: "/draft/", hosts: 2, upstreams: 3, speakers: 1, leaving: "1", prefill: true},
		"stream-trailer":         {path: "/draft/", hosts: 2, upstreams: 4, speakers: 1, trailer: true},
		"all-of-a-service":       {path: "/status/", hosts: 2, upstreams: 2, speakers: 2, leaving: "1"},
		"all-decode-engines":     {path: "/draft/", hosts: 2, upstreams: 2, speakers: 2, leaving: "1"},
		"no-word":                {path: "/status/", hosts: 1, upstreams: 2, speakers: 1, leaving: "0", ignored: true},
	} {
		t.Run(name, func(t *testing.T) { playTrial(t, trial.play) })
	}
}

// Upstreams that reject a request and ask for rest must get no more from that host for the time
// that they name, and are used again afterwards; the other requests are answered.
func TestUpstreamsThatAskForRestGetIt(t *testing.T) {
	const seconds = "3"
	for name, trial := range map[string]*wordTrialRun{
		"plain":      {path: "/status/", hosts: 3, upstreams: 4, speakers: 1, rest: seconds},
		"send-once":  {path: "/filing/", hosts: 3, upstreams: 4, speakers: 2, rest: "3.0"},
		"stream":     {path: "/draft/", hosts: 3, upstreams: 4, speakers: 1, rest: seconds},
		"resumable":  {path: "/note/", hosts: 2, upstreams: 4, speakers: 2, rest: seconds},
		"prefill":    {path: "/draft/", hosts: 2, upstreams: 3, speakers: 1, rest: seconds, prefill: true},
		"all-plain":  {path: "/status/", hosts: 2, upstreams: 3, speakers: 3, rest: seconds},
		"all-decode": {path: "/draft/", hosts: 2, upstreams: 2, speakers: 2, rest: seconds},
		"malformed":  {path: "/status/", hosts: 1, upstreams: 3, speakers: 1, rest: "soon", ignored: true},
	} {
		t.Run(name, func(t *testing.T) { playTrial(t, trial.play) })
	}
}

// A host that was cut from an upstream must send it nothing once it has passed on another host's
// answer in which the upstream says that it leaves.
func TestLeavingUpstreamIsKnownFromAnotherHostsAnswer(t *testing.T) {
	playTrial(t, testLeavingFromAnotherHost)
}

func testLeavingFromAnotherHost(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 2, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	h := c.d.hosts[0]
	c.links[h].Set(platformtest.LinkReset)
	c.d.waitFor("request passed on", func() bool { return c.d.send(h, "POST", "/status/x", nil).status == 200 })
	for _, w := range c.d.workers {
		w.SetLeaving("1")
	}
	var word response
	c.d.waitFor("word passed on", func() bool {
		word = c.d.send(h, "POST", "/status/x", nil)
		return word.header.Get(wire.HeaderLeaving) == "1"
	})
	leaving := c.d.workers[strings.TrimPrefix(word.header.Get(wire.HeaderSeal), "seal-")]
	for _, w := range c.d.workers {
		if w.Service == leaving.Service && w != leaving {
			c.d.store.Delete(wire.TableUpstreams, w.ID)
		}
	}
	c.links[h].Set(platformtest.LinkOpen)
	time.Sleep(drainTime)
	before := len(leaving.Arrivals())
	for range 30 {
		c.d.send(h, "POST", "/status/x", nil)
	}
	if late := len(leaving.Arrivals()) - before; late > 0 {
		t.Errorf("%d requests reached the upstream that leaves", late)
	}
}

// A decode engine that rejects streams grants reservations and looks idle. It must not get more
// than its even share of them.
func TestEngineThatRejectsStreamsGetsNoMoreThanItsShare(t *testing.T) {
	for name, path := range map[string]string{"stream": "/draft/", "resumable": "/note/"} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, func(t *testing.T) {
				c := &wordTrialRun{path: path, hosts: 3, upstreams: 4, speakers: 1, rejects: true, ignored: true}
				c.play(t)
				if sent := c.answered + c.failed; c.reached > sent/c.upstreams {
					knownred.Errorf(t, "%d of %d streams reached the engine that rejects them, 1 of %d engines", c.reached, sent, c.upstreams)
				}
			})
		})
	}
}
