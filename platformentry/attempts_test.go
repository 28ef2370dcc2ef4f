package platformentry_test

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// attemptsLength is how long callers send requests.
	attemptsLength = 6 * time.Second
	// attemptsDeadline is how long callers wait for an answer, in milliseconds.
	attemptsDeadline = "1200"
	// attemptsCallers is the number of callers at each host.
	attemptsCallers = 8
	// attemptsGap is the time from an answer to the next request of a caller.
	attemptsGap = 100 * time.Millisecond
	// badShare is the share of the runs that fail, in percent.
	badShare = 60
)

// attemptsTrial has runs fail at the workers while some hosts are cut off from all of them.
type attemptsTrial struct {
	cutTrial
	// fault is how a share of the runs fails.
	fault platformtest.Fault
	// allowed is the number of workers on which a request may run.
	allowed int
}

func (a *attemptsTrial) play(t *testing.T) {
	t.Helper()
	a.t, a.links, a.workers = t, make(map[*host]*platformtest.HostLinks), 6
	a.start()
	var runs atomic.Int64
	for _, w := range a.d.workers {
		w.SetFault(func(r *http.Request) platformtest.Fault {
			h := fnv.New32a()
			_, _ = fmt.Fprint(h, w.ID, r.Header.Get(wire.HeaderRequestID), runs.Add(1))
			if h.Sum32()%100 < badShare && r.Header.Get(wire.HeaderStage) == "" {
				return a.fault
			}
			return platformtest.FaultNone
		})
	}
	a.begin()
	time.Sleep(contactTime)
	until := time.Now().Add(attemptsLength)
	var mu sync.Mutex
	var sent []response
	var callers sync.WaitGroup
	for _, h := range a.d.hosts {
		for range attemptsCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					got := a.d.sendBody(h, "POST", fmt.Sprint(a.path, n), http.Header{wire.HeaderDeadline: {attemptsDeadline}}, fmt.Sprint("body ", n))
					mu.Lock()
					sent = append(sent, got)
					mu.Unlock()
					time.Sleep(attemptsGap)
				}
			})
		}
	}
	callers.Wait()
	a.judge(sent)
}

// judge counts the workers on which each request ran.
func (a *attemptsTrial) judge(sent []response) {
	a.t.Helper()
	over, most, mostRuns, answered := 0, 0, 0, 0
	for _, got := range sent {
		used := 0
		for _, w := range a.d.workers {
			if w.Runs(got.id) > 0 {
				used++
			}
		}
		if used > a.allowed {
			over++
		}
		if got.status == http.StatusOK && got.err == nil {
			answered++
		}
		most, mostRuns = max(most, used), max(mostRuns, a.d.executions(got.id))
	}
	a.t.Logf("%d of %d requests ran on more than %d workers, one on %d; one ran %d times; %d were answered", over, len(sent), a.allowed, most, mostRuns, answered)
	if over > 0 {
		knownred.Errorf(a.t, "%d of %d requests ran on more than %d workers, one on %d", over, len(sent), a.allowed, most)
	}
	if answered == 0 {
		knownred.Errorf(a.t, "none of %d requests was answered", len(sent))
	}
}

// Requests that a host passed on ran on more upstreams than their routes allow.
func TestPassedOnRequestsRunOnTooManyUpstreams(t *testing.T) {
	for name, trial := range map[string]*attemptsTrial{
		"repeatable-hang":   {cutTrial: cutTrial{path: "/status/", mode: platformtest.LinkHang, hosts: 4, cut: 1}, fault: platformtest.FaultNoResponse, allowed: 2},
		"repeatable-failed": {cutTrial: cutTrial{path: "/status/", mode: platformtest.LinkReset, hosts: 4, cut: 2}, fault: platformtest.FaultFailed, allowed: 2},
		"resumable-broken":  {cutTrial: cutTrial{path: "/note/", mode: platformtest.LinkHang, hosts: 4, cut: 1}, fault: platformtest.FaultCut, allowed: 2},
		"resumable-reset":   {cutTrial: cutTrial{path: "/note/", mode: platformtest.LinkReset, hosts: 4, cut: 2}, fault: platformtest.FaultReset, allowed: 2},
		"send-once-reset":   {cutTrial: cutTrial{path: "/filing/", mode: platformtest.LinkReset, hosts: 4, cut: 2}, fault: platformtest.FaultReset, allowed: 1},
		"stream-broken":     {cutTrial: cutTrial{path: "/draft/", mode: platformtest.LinkHang, hosts: 4, cut: 1}, fault: platformtest.FaultCut, allowed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, trial.play)
		})
	}
}
