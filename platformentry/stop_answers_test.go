package platformentry_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
)

const (
	// slowUpstream is the time that upstreams take once they are slow: longer than a planned stop,
	// and shorter than callers wait.
	slowUpstream = 12 * time.Second
	// stopWarmUp is how long upstreams are quick before.
	stopWarmUp = 500 * time.Millisecond
)

// lateStop stops hosts while upstreams are slow, and sends requests to one host until nothing listens
// there any more.
type lateStop struct {
	// cut is how the links of the first host to all upstreams fail, so that it passes requests on.
	cut platformtest.LinkMode
	// helpers says that the other hosts stop, and not the first one.
	helpers bool
	// slowDown is the time between the beginning of the stop and that upstreams turn slow.
	slowDown time.Duration

	d  *deployment
	mu sync.Mutex
	// ended is closed when the processes of the hosts that stop have ended.
	ended chan struct{}
	// statuses counts the answers.
	statuses map[int]int
	broken   []string
}

func (c *lateStop) play(t *testing.T) {
	t.Helper()
	trial := &cutTrial{t: t, hosts: 3, cut: 1, mode: c.cut, links: make(map[*host]*platformtest.HostLinks)}
	trial.start()
	c.d, c.statuses, c.ended = trial.d, make(map[int]int), make(chan struct{})
	time.Sleep(stopWarmUp)
	trial.begin()
	time.Sleep(contactTime)
	stopping := c.d.hosts[:1]
	if c.helpers {
		stopping = c.d.hosts[1:]
	}
	began := time.Now()
	for _, h := range stopping {
		h.stop()
	}
	go func() {
		defer close(c.ended)
		for _, h := range stopping {
			<-h.done
		}
	}()
	time.Sleep(c.slowDown)
	for _, w := range c.d.workers {
		w.OnArrival(func(*platformtest.Worker, *http.Request) { time.Sleep(slowUpstream) })
	}
	var callers sync.WaitGroup
	for time.Since(began) < 4*time.Second {
		for _, path := range []string{"/filing/", "/status/", "/draft/", "/note/"} {
			callers.Go(func() { c.send(c.d.hosts[0], path, time.Since(began)) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	t.Logf("statuses %v, broken %q", c.statuses, c.broken)
	if len(c.broken) > 0 {
		knownred.Errorf(t, "%d requests were taken and not answered, or their answers are untrue: %q", len(c.broken), c.broken[:min(len(c.broken), 5)])
	}
}

// errAfterEnd means that an answer came from a process that has ended. Trials end no processes.
var errAfterEnd = errors.New("the process had ended before the answer")

func (c *lateStop) send(h *host, path string, at time.Duration) {
	got := c.d.send(h, "POST", path, nil)
	select {
	case <-c.ended:
		if !c.helpers && got.err == nil {
			got.err = errAfterEnd
		}
	default:
	}
	time.Sleep(slowUpstream) // What was sent on by then has run.
	ran := c.d.executions(got.id)
	once := path == "/filing/" || path == "/draft/"
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[got.status]++
	switch {
	case errors.Is(got.err, syscall.ECONNREFUSED):
	case got.err != nil, got.status == http.StatusServiceUnavailable && ran > 0, once && ran > 1:
		c.broken = append(c.broken, fmt.Sprintf("%s after %s: status %d %s, ran %d times, %v", path, at, got.status, got.body, ran, got.err))
	}
}

// Requests that a host took late in a planned stop, and that its upstreams do not answer before the
// process ends, must be answered: as not run, or as what may have run.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	for name, trial := range map[string]*lateStop{
		"direct":               {cut: platformtest.LinkOpen},
		"direct-slow-later":    {cut: platformtest.LinkOpen, slowDown: 2 * time.Second},
		"slow-links":           {cut: platformtest.LinkSlow},
		"passed-on":            {cut: platformtest.LinkReset},
		"passed-on-slow-later": {cut: platformtest.LinkReset, slowDown: 2 * time.Second},
		"helpers-stop":         {cut: platformtest.LinkReset, helpers: true},
	} {
		t.Run(name, func(t *testing.T) { playTrial(t, trial.play) })
	}
}
