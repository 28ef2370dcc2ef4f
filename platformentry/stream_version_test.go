package platformentry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
	// versionStreamEvents is the number of events of a whole stream, of which a caller reads
	// eventsPerTry before it takes the stream up elsewhere.
	versionStreamEvents = 12
	eventsPerTry        = 3
	versionEventPause   = 15 * time.Millisecond
	// streamStagger is the time between the beginnings of two streams.
	streamStagger = 10 * time.Millisecond
	// minTakenUpShare is the share of the streams that are taken up that must go on, of the
	// share of new ones that begin, while two engines of their version serve.
	minTakenUpShare = 0.5
	// maxVersionRefusalDelay is how long a stream may be held that no engine can go on with.
	maxVersionRefusalDelay = time.Second
)

// versionTrial begins streams while engines of two software versions serve, and takes them up
// at other hosts.
type versionTrial struct {
	hosts, v1, v2, streams int
	// takeUps is how often each stream is taken up, after a delay.
	takeUps int
	delay   time.Duration
	// between changes the engines after all streams have begun.
	between func(c *versionTrial)
	// whole means that callers read each stream as a whole, so that only the host resumes it.
	whole bool
	// gone means that no engine of the version is left, so that nothing may go on.
	gone bool
	// stale means that engines are replaced by the other version before the streams begin,
	// and registered only a while later.
	stale bool

	t  *testing.T
	d  *deployment
	mu sync.Mutex
	// began, takenUp and wentOn count tries; mixed counts streams with events of two versions.
	began, takenUp, wentOn, mixed int
	slowest                       time.Duration
	failures                      []string
}

// streamSoFar is what a caller has of one stream over its tries.
type streamSoFar struct {
	// id is the request that brought the first event.
	id       string
	events   int
	versions map[string]bool
}

func (c *versionTrial) play(t *testing.T) {
	t.Helper()
	c.t = t
	c.d = newVirtualDeployment(t)
	c.addWorker(c.d.newWorker("led", "ledger", "z-a", ""))
	c.addWorker(c.d.newWorker("pre", "models", "z-a", "prefill"))
	c.addEngines("v1", c.v1)
	c.addEngines("v2", c.v2)
	for i := range c.hosts {
		c.d.startHost(fmt.Sprintf("host-%d", i), []string{"z-a", "z-b"}[i%2])
	}
	for _, h := range c.d.hosts {
		c.d.waitFor("upstreams known", func() bool {
			return c.d.send(h, "GET", "/status/x", nil).status == 200 && c.d.send(h, "POST", "/draft/x", nil).status == 200
		})
	}
	c.d.waitForMembers()
	for id, w := range c.d.workers {
		if strings.HasPrefix(id, "v") {
			w.SetStream(versionStreamEvents, c.pause())
		}
	}
	if c.stale {
		c.replaceV1(false)
	}
	streams := make([]streamSoFar, c.streams)
	c.forEach(streams, func(i int, s *streamSoFar) { c.begin(c.host(i), s) })
	if c.between != nil && !c.whole {
		c.between(c)
	}
	for n := 1; n <= c.takeUps; n++ {
		time.Sleep(c.delay)
		c.forEach(streams, func(i int, s *streamSoFar) { c.takeUp(c.host(i+n), s, n == c.takeUps) })
	}
	c.report(streams)
}

// pause returns the time between two events. Streams that are read as a whole last until all
// have begun.
func (c *versionTrial) pause() time.Duration {
	if c.whole {
		return time.Duration(c.streams) * streamStagger * 2 / versionStreamEvents
	}
	return versionEventPause
}

func (c *versionTrial) host(i int) *host { return c.d.hosts[i%len(c.d.hosts)] }

// forEach runs f for all streams, which begin one shortly after the other.
func (c *versionTrial) forEach(streams []streamSoFar, f func(i int, s *streamSoFar)) {
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() { f(i, &streams[i]) })
		time.Sleep(streamStagger)
	}
	if c.whole && c.between != nil {
		c.between(c)
	}
	running.Wait()
}

func (c *versionTrial) addEngines(version string, n int) {
	for i := range n {
		w := c.d.newWorker(fmt.Sprintf("%s-%d", version, i), "models", []string{"z-a", "z-b"}[i%2], "decode")
		w.Version = version
		w.SetStream(versionStreamEvents, c.pause())
		c.addWorker(w)
	}
}

func (c *versionTrial) addWorker(w *platformtest.Worker) {
	c.d.mu.Lock()
	c.d.workers[w.ID] = w
	c.d.mu.Unlock()
	c.t.Cleanup(w.Close)
	w.Register(c.d.store, "ready")
}

// engines returns the first n engines whose identifiers begin with the version.
func (c *versionTrial) engines(version string, n int) []*platformtest.Worker {
	var found []*platformtest.Worker
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	for i := range n {
		found = append(found, c.d.workers[fmt.Sprintf("%s-%d", version, i)])
	}
	return found
}

// crashTwoOfEach ends two engines of each version without a word.
func (c *versionTrial) crashTwoOfEach() {
	for _, version := range []string{"v1", "v2"} {
		for _, w := range c.engines(version, 2) {
			w.Close()
			time.AfterFunc(time.Second, func() { c.d.store.Delete(wire.TableUpstreams, w.ID) })
		}
	}
}

// v1Leaves lets all engines of v1 drain and leave.
func (c *versionTrial) v1Leaves() {
	for _, w := range c.engines("v1", c.v1) {
		w.Register(c.d.store, "draining")
	}
	time.Sleep(time.Second)
	for _, w := range c.engines("v1", c.v1) {
		c.d.store.Delete(wire.TableUpstreams, w.ID)
	}
}

// replaceV1 starts all engines of v1, or all but one where two are to stay, again as v2 under
// their identifiers and addresses, and registers them at once or a while later.
func (c *versionTrial) replaceV1(atOnce bool) {
	replaced := c.engines("v1", c.v1)
	if !atOnce {
		replaced = replaced[:c.v1-2]
	}
	for _, w := range replaced {
		next, err := w.Replace("v2")
		if err != nil {
			c.t.Error(err)
			return
		}
		c.t.Cleanup(next.Close)
		c.d.mu.Lock()
		c.d.workers[w.ID] = next
		c.d.mu.Unlock()
		if atOnce {
			next.Register(c.d.store, "ready")
		} else {
			time.AfterFunc(time.Second, func() { next.Register(c.d.store, "ready") })
		}
	}
	if atOnce {
		time.Sleep(time.Second)
	}
}

// begin begins a stream and breaks it off after a few events, unless it is read as a whole.
func (c *versionTrial) begin(h *host, s *streamSoFar) {
	s.versions = make(map[string]bool)
	limit := eventsPerTry
	if c.whole {
		limit = versionStreamEvents + 1
	}
	id, status, n, _ := c.try(h, s, nil, limit)
	s.id = id
	c.mu.Lock()
	defer c.mu.Unlock()
	if n >= eventsPerTry {
		c.began++
	}
	if c.whole && status == http.StatusOK && n == versionStreamEvents {
		c.wentOn++
	}
}

// takeUp takes up a stream after the last event that the caller has.
func (c *versionTrial) takeUp(h *host, s *streamSoFar, last bool) {
	if s.events == 0 || s.events == versionStreamEvents {
		return
	}
	limit := eventsPerTry
	if last {
		limit = versionStreamEvents
	}
	began, after := time.Now(), s.events
	_, status, n, text := c.try(h, s, http.Header{wire.HeaderResumes: {s.id}, wire.HeaderLastEventID: {strconv.Itoa(after)}}, limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takenUp++
	switch {
	case n > 0:
		c.wentOn++
	case status == http.StatusServiceUnavailable:
		c.slowest = max(c.slowest, time.Since(began))
	default:
		c.failures = append(c.failures, fmt.Sprintf("%s: status %d %s", h.settings.Host, status, text))
	}
}

// try sends one request for a stream and reads at most limit events of it.
func (c *versionTrial) try(h *host, s *streamSoFar, header http.Header, limit int) (id string, status, events int, text string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id, resp, err := c.d.open(ctx, h, "/note/x", header)
	if err != nil {
		return id, 0, 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan() && events < limit; {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			text += lines.Text()
			continue
		}
		var event struct {
			Token   int    `json:"token"`
			Version string `json:"version"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || event.Token != s.events+1 {
			c.mu.Lock()
			c.failures = append(c.failures, fmt.Sprintf("event %q after %d, %v", data, s.events, err))
			c.mu.Unlock()
			return id, resp.StatusCode, events, text
		}
		s.events++
		events++
		s.versions[event.Version] = true
	}
	return id, resp.StatusCode, events, text
}

func (c *versionTrial) report(streams []streamSoFar) {
	for _, s := range streams {
		if len(s.versions) > 1 {
			c.mixed++
		}
	}
	c.t.Logf("%d of %d began, %d of %d that were taken up went on, refused within %s, %d with events of both versions, %q",
		c.began, c.streams, c.wentOn, c.takenUp, c.slowest, c.mixed, c.failures)
	if c.mixed > 0 {
		knownred.Errorf(c.t, "%d of %d streams hold events of two software versions", c.mixed, c.streams)
	}
	if len(c.failures) > 0 {
		knownred.Errorf(c.t, "%d tries failed: %q", len(c.failures), c.failures)
	}
	if c.began < c.streams/2 {
		knownred.Errorf(c.t, "%d of %d streams began", c.began, c.streams)
	}
	if c.slowest > maxVersionRefusalDelay {
		knownred.Errorf(c.t, "a stream was refused after %s, want it told at once", c.slowest)
	}
	if c.gone && c.wentOn > 0 {
		knownred.Errorf(c.t, "%d streams went on though no engine of their version is left", c.wentOn)
	}
	share := minTakenUpShare * float64(c.began) / float64(c.streams) * float64(c.takenUp)
	if !c.gone && !c.whole && float64(c.wentOn) < share {
		knownred.Errorf(c.t, "%d of %d streams that were taken up went on, want at least %.0f", c.wentOn, c.takenUp, share)
	}
}

// Streams must go on only at the software version that began them, at any host.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for name, trial := range map[string]*versionTrial{
		"once":                {hosts: 4, v1: 2, v2: 2, streams: 40, takeUps: 1},
		"twice":               {hosts: 4, v1: 2, v2: 2, streams: 40, takeUps: 2, delay: 100 * time.Millisecond},
		"eight-hosts-at-once": {hosts: 8, v1: 2, v2: 2, streams: 80, takeUps: 1},
		"later":               {hosts: 3, v1: 2, v2: 4, streams: 30, takeUps: 1, delay: 1500 * time.Millisecond},
		"same-response":       {hosts: 3, v1: 4, v2: 4, streams: 90, whole: true, between: (*versionTrial).crashTwoOfEach},
		"version-leaves":      {hosts: 3, v1: 2, streams: 42, takeUps: 1, gone: true, between: func(c *versionTrial) { c.addEngines("v2", 2); c.v1Leaves() }},
		"version-comes":       {hosts: 3, v1: 2, streams: 42, takeUps: 1, between: func(c *versionTrial) { c.addEngines("v2", 4); time.Sleep(time.Second) }},
		"replaced-in-place":   {hosts: 3, v1: 3, streams: 42, takeUps: 1, gone: true, between: func(c *versionTrial) { c.replaceV1(true) }},
		"registered-later":    {hosts: 3, v1: 4, streams: 42, takeUps: 2, delay: 700 * time.Millisecond, stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, trial.play)
		})
	}
}

// A host that does not know which version began a stream must refuse it, truly and at once,
// and a caller without any event begins anew.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	defer knownred.Done(t)
	d := newDeployment(t, 2)
	for name, header := range map[string]http.Header{
		"unknown":   {wire.HeaderResumes: {"00000000deadbeef"}, wire.HeaderLastEventID: {"3"}},
		"malformed": {wire.HeaderResumes: {strings.Repeat("x", 5000)}, wire.HeaderLastEventID: {"3"}},
		"missing":   {wire.HeaderLastEventID: {"3"}},
	} {
		got := d.sendBody(d.hosts[0], "POST", "/note/x", header, "")
		if got.status != http.StatusServiceUnavailable || got.header.Get(wire.HeaderRetryAfter) == "" || d.executions(got.id) != 0 {
			knownred.Errorf(t, "%s: got status %d %q, ran %d times; want a refusal that it did not run", name, got.status, got.body, d.executions(got.id))
		}
	}
	got := d.sendBody(d.hosts[1], "POST", "/note/x", http.Header{wire.HeaderResumes: {"00000000deadbeef"}}, "")
	if ids := eventIDs(got.body); got.status != http.StatusOK || len(ids) != 5 || ids[0] != "1" {
		knownred.Errorf(t, "a caller without events got status %d and the events %v, want the whole stream", got.status, ids)
	}
}

// A caller that does not name the first request is recognized by what it sends, as long as all
// streams of this content have one version.
func TestStreamIsTakenUpByItsContent(t *testing.T) {
	d := newDeployment(t, 3)
	d.waitForMembers()
	for i := range 6 {
		body := fmt.Sprint("prompt ", i)
		first := d.sendBody(d.hosts[i%3], "POST", "/note/x", nil, body)
		if first.status != http.StatusOK {
			t.Fatalf("status %d %s", first.status, first.body)
		}
		got := d.sendBody(d.hosts[(i+1)%3], "POST", "/note/x", http.Header{wire.HeaderLastEventID: {"3"}}, body)
		if ids := eventIDs(got.body); got.status != http.StatusOK || len(ids) != 2 || ids[0] != "4" {
			t.Errorf("stream %d: status %d, events %v, %s; want those after the third", i, got.status, ids, got.body)
		}
	}
}
