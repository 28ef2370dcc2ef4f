package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// restartDelay is the time from a crash to the next process of the worker.
	restartDelay = 600 * time.Millisecond
	// crashLimit is the number of crashes after which a request must not run, maxLateRuns
	// the number of runs that are allowed later than contactTime after that.
	crashLimit  = 3
	maxLateRuns = 3
	// contactTime is the time after the last fault from which hosts must act on what any
	// of them has seen.
	contactTime = 3 * time.Second
	// maxHostBytes is the memory of a host.
	maxHostBytes = 128 << 20
)

// crashLog holds what one crashing request did to the workers of a run.
type crashLog struct {
	// path is the path of the request.
	path string

	mu      sync.Mutex
	crashes []time.Time
}

// newCrashLog draws the kind of the crashing request.
func newCrashLog(draw *rand.Rand) *crashLog {
	return &crashLog{path: strings.TrimSuffix(kindPaths[kind(draw.IntN(len(kindPaths)))], "x") + "crashing"}
}

func (c *crashLog) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// count returns the number of crashes, and of those later than contactTime after the
// third crash and the last fault.
func (c *crashLog) count(lastFault time.Time) (all, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.crashes {
		if i >= crashLimit && at.Sub(lastFault) > contactTime && at.Sub(c.crashes[crashLimit-1]) > contactTime {
			late++
		}
	}
	return len(c.crashes), late
}

// crashingCaller sends the request that crashes workers to random hosts until the context
// ends.
func (r *run) crashingCaller(ctx context.Context, draw *rand.Rand) {
	client := &http.Client{Transport: httplimit.Transport(&http.Transport{DisableCompression: true}), Timeout: callerWait}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		h := r.hosts[draw.IntN(len(r.hosts))]
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+r.crashLog.path, strings.NewReader("the same body")) //nolint:noctx // The client has a timeout.
		if err != nil {
			r.ledger.find("the crashing request could not be made: %v", err)
			return
		}
		req.Host = hostName
		req.Header.Set(wire.HeaderRequestID, fmt.Sprintf("%016x", uint64(0xc0de)<<32+uint64(i)))
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
		req.Header.Set(wire.HeaderTokenCount, "1000,300")
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crashingGap):
		}
	}
}

// addWorker starts to watch a worker for crashes, and registers it.
func (r *run) addWorker(w *platformtest.Worker) {
	w.SetStream(streamEvents, 15*time.Millisecond)
	w.SetCrashPath(r.crashLog.path)
	w.OnCrash(func() {
		r.crashLog.add()
		time.AfterFunc(restartDelay, func() { r.restartWorker(w) })
	})
	w.Register(r.store, "ready")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

// restartWorker starts the next process of a crashed worker.
func (r *run) restartWorker(w *platformtest.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	next, err := w.Restart()
	if err != nil {
		r.ledger.find("worker %s not restarted: %v", w.ID, err)
		return
	}
	next.OnCrash(func() {
		r.crashLog.add()
		time.AfterFunc(restartDelay, func() { r.restartWorker(next) })
	})
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

// checkCrashes checks that the crashing request did not run on after the faults.
func (r *run) checkCrashes(lastFault time.Time) {
	if all, late := r.crashLog.count(lastFault); late > maxLateRuns {
		r.ledger.find("request %s crashed workers %d times, %d of them later than %s after the third crash and the last fault",
			r.crashLog.path, all, late, contactTime)
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
