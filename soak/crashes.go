package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// crashingGap is the time between two attempts of the caller whose request crashes
	// workers.
	crashingGap = 300 * time.Millisecond
	// crashingCallers is the number of callers that send copies of it in turn.
	crashingCallers = 3
	// restartDelay is the time from a crash to the next process of the worker.
	restartDelay = 600 * time.Millisecond
	// portWait is how long a worker may wait for its port.
	portWait = 10 * time.Second
	// crashingRequestLimit is the number of crashes after which a crashing request must not
	// run, crashingPartLimit that for requests with a crashing part of a prompt, and
	// maxLateRuns the number of crashes that are allowed later than contactTime after that.
	crashingRequestLimit = 3
	crashingPartLimit    = 5
	maxLateRuns          = 3
	// contactTime is the time after the last fault from which hosts must act on what any
	// of them has seen.
	contactTime = 3 * time.Second
	// maxHostBytes is the memory of a host.
	maxHostBytes = 128 << 20
)

// crashLog holds what the requests with one cause did to the workers of a run.
type crashLog struct {
	// name names the requests in findings.
	name string
	// limit is the number of crashes after which they must not run.
	limit int

	mu      sync.Mutex
	crashes []time.Time
}

func (c *crashLog) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// count returns the number of crashes, and of those later than contactTime after the
// crash at the limit and the last fault.
func (c *crashLog) count(lastFault time.Time) (all, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.crashes {
		if i >= c.limit && at.Sub(lastFault) > contactTime && at.Sub(c.crashes[c.limit-1]) > contactTime {
			late++
		}
	}
	return len(c.crashes), late
}

// crashingPart is the part of prompts that crashes decode workers.
const crashingPart = "bad"

// crasher is a caller whose requests crash workers: one request that is sent again and
// again, or requests of which no two are alike but for a part of their prompts.
type crasher struct {
	crashLog
	// path is the path of the request, or the start of the paths of all of them.
	path string
	// parts are the parts of the prompts before the last one; empty for one request.
	parts string
	ids   uint64
}

// newCrashers draws the callers whose requests crash workers.
func newCrashers(draw *rand.Rand) (request, part *crasher) {
	request = &crasher{
		path:     strings.TrimSuffix(kindPaths[kind(draw.IntN(len(kindPaths)))], "x") + "crashing",
		crashLog: crashLog{limit: crashingRequestLimit}, ids: 0xc0de,
	}
	request.name = "request " + request.path
	part = &crasher{
		path:     strings.TrimSuffix(kindPaths[kindDraft+kind(draw.IntN(2))], "x"),
		parts:    []string{"bad", "aa,bad", "aa,p1,bad,p2"}[draw.IntN(3)],
		crashLog: crashLog{limit: crashingPartLimit}, ids: 0xbad,
	}
	part.name = "requests to " + part.path + " with the parts " + part.parts
	return request, part
}

// crashOn counts and selects the requests that crash a worker.
func (r *run) crashOn(req *http.Request) bool {
	switch {
	case req.URL.Path == r.crashingRequest.path:
		r.crashingRequest.add()
		return true
	case strings.Contains(req.Header.Get(wire.HeaderPromptParts), crashingPart) && req.Header.Get(wire.HeaderStage) == "":
		r.crashingPart.add()
		return true
	default:
		return false
	}
}

// promptParts returns the value of the header of a prompt with the given shared parts.
func promptParts(shared, own string) string {
	return strings.ReplaceAll(shared, ",", ":500,") + ":500," + own + ":250"
}

// crashingCaller returns the client of one of the callers that send the requests that crash
// workers, each with an address of its own.
func crashingCaller(n int) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(n+1))}}
	return &http.Client{Transport: httplimit.Transport(&http.Transport{DialContext: dialer.DialContext, DisableCompression: true}), Timeout: callerWait}
}

// crash sends the requests that crash workers to random hosts until the context ends.
func (r *run) crash(ctx context.Context, c *crasher, draw *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		client := crashingCaller(i % crashingCallers)
		h := r.hosts[draw.IntN(len(r.hosts))]
		path, body, id := c.path, "the same body", fmt.Sprintf("%016x", c.ids<<32+uint64(i))
		if c.parts != "" {
			path, body = c.path+id, "body of "+id
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader(body)) //nolint:noctx // The client has a timeout.
		if err != nil {
			r.ledger.find("%s could not be made: %v", c.name, err)
			return
		}
		req.Host = hostName
		req.Header.Set(wire.HeaderRequestID, id)
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
		req.Header.Set(wire.HeaderTokenCount, "1000,300")
		r.keys.authorize(req, residents[0])
		if c.parts != "" {
			req.Header.Set(wire.HeaderPromptParts, promptParts(c.parts, id))
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(crashingGap):
		}
	}
}

// addWorker starts to watch a worker for crashes, and registers it.
func (r *run) addWorker(w *platformtest.Worker) {
	w.SetStream(streamEvents, 15*time.Millisecond)
	w.SetCrashOn(r.crashOn)
	w.OnArrival(r.words.arrived)
	w.OnMessage(r.keys.message)
	w.OnCrash(func() { r.workerEnded(w) })
	w.Register(r.store, "ready")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

// workerEnded lets the next process of a worker start a while after this one.
func (r *run) workerEnded(w *platformtest.Worker) {
	for _, h := range r.hosts {
		h.workers.SetDown(w.Address(), true)
	}
	ended := time.Now()
	time.AfterFunc(restartDelay, func() { r.restartWorker(w, ended) })
}

// restartWorker starts the next process of a crashed worker.
func (r *run) restartWorker(w *platformtest.Worker, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	next, err := w.Restart()
	if err != nil && time.Since(ended) < portWait {
		// A connection has its port for the moment.
		time.AfterFunc(restartDelay, func() { r.restartWorker(w, ended) })
		return
	}
	if err != nil {
		r.ledger.find("worker %s not restarted: %v", w.ID, err)
		return
	}
	next.OnCrash(func() { r.workerEnded(next) })
	for _, h := range r.hosts {
		h.workers.SetDown(next.Address(), false)
	}
	for i, known := range r.workers {
		if known == w {
			r.workers[i] = next
		}
	}
	r.ended = append(r.ended, w)
	next.Register(r.store, "ready")
}

// currentWorkers returns the processes of the workers.
func (r *run) currentWorkers() []*platformtest.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*platformtest.Worker(nil), r.workers...)
}

// register writes the entry of a worker's current process.
func (r *run) register(id, state string) {
	for _, w := range r.currentWorkers() {
		if w.ID == id {
			w.Register(r.store, state)
		}
	}
}

// checkCrashes checks that requests that crash workers did not run on after the faults.
func (r *run) checkCrashes(lastFault time.Time) {
	for _, c := range []*crasher{r.crashingRequest, r.crashingPart} {
		if all, late := c.count(lastFault); late > maxLateRuns {
			r.ledger.find("%s crashed workers %d times, %d of them later than %s after crash %d and the last fault",
				c.name, all, late, contactTime, c.limit)
		}
	}
}

// checkMemory checks the largest memory that the current process of each host has had.
func (r *run) checkMemory() {
	for _, h := range r.hosts {
		if peak, ok := h.peakMemory(); ok && peak > maxHostBytes {
			r.ledger.find("host %s took %d MB", h.name, peak>>20)
		}
	}
}

// peakMemory returns the largest resident set of the current process, or false where the
// system does not tell.
func (h *host) peakMemory() (int64, bool) {
	h.mu.Lock()
	command := h.command
	h.mu.Unlock()
	if command == nil || command.Process == nil {
		return 0, false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err == nil
		}
	}
	return 0, false
}
