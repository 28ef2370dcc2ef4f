package platformentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// partCrashLimit is the number of crashes after which a part of prompts is known to
	// every host within contactTime, and maxLateParts the requests with it that the
	// platform allows to reach upstreams later.
	partCrashLimit = 5
	maxLateParts   = 3
	// crashingPartGap is the time from the answer to a crashing request to the next one.
	crashingPartGap = 700 * time.Millisecond
	// soundCallers is the number of callers at each host whose requests are sound.
	soundCallers = 3
	// soundWarmUp is the time in which sound requests complete before the first crash.
	soundWarmUp = 500 * time.Millisecond
	// maxPartTrial bounds a trial.
	maxPartTrial = 25 * time.Second
)

// partTrial sends requests of which no two are alike, but which share a part of their
// prompts that crashes each decode upstream that begins to answer them. Sound requests
// share all their other parts.
type partTrial struct {
	crashingFleet
	path  string
	hosts int
	// culprits are the parts of the crashing requests without the last one, which differs;
	// the callers use them in turn. A part that begins with "bad" crashes upstreams, and
	// one that ends with "*" differs in each request.
	culprits []string
	// sound are the parts of the sound requests, likewise.
	sound []string
	// gap is the time between two crashing requests at a host.
	gap time.Duration
	// cold lets the crashing requests come first, before any request has completed.
	cold bool
	// restartHost restarts one host 1 s after the third crash.
	restartHost bool
	// fault is how the upstreams crash.
	fault platformtest.Fault

	// late holds the identifiers of the crashing requests that reached an upstream later
	// than contactTime after the fifth crash.
	late map[string]bool
	// tried and answered count the sound requests that were sent later than twice
	// contactTime after the fifth or last crash.
	tried, answered int
	failures        []string
	// early counts the sound requests that were answered before the first crash, refused
	// those that were refused as if they crashed upstreams, at any time.
	early, refused int
}

// onPart returns the fault of a request, and counts the crashing ones.
func (c *partTrial) onPart(r *http.Request) platformtest.Fault {
	if !strings.Contains(r.Header.Get(wire.HeaderPromptParts), "bad") {
		return platformtest.FaultNone
	}
	c.mu.Lock()
	if len(c.crashes) >= partCrashLimit && time.Since(c.crashes[partCrashLimit-1]) > contactTime {
		c.late[r.Header.Get(wire.HeaderRequestID)] = true
	}
	c.mu.Unlock()
	if r.Header.Get(wire.HeaderStage) != "" {
		return platformtest.FaultNone
	}
	return c.fault
}

// known returns the time from which on the crashing part must be known: the fifth crash,
// or the last one if there were fewer.
func (c *partTrial) known() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashLimit {
		return time.Time{}, false
	}
	return c.crashes[min(len(c.crashes), partCrashLimit)-1], true
}

func (c *partTrial) settled() bool {
	known, ok := c.known()
	return ok && time.Since(known) > 2*contactTime
}

// promptParts returns the header of a request with the given parts.
func promptParts(parts, own string) http.Header {
	h := http.Header{}
	parts = strings.ReplaceAll(parts, "*", own)
	h.Set(wire.HeaderPromptParts, strings.ReplaceAll(parts, ",", ":500,")+":500,"+own+":250")
	return h
}

// play runs the trial.
func (c *partTrial) play(t *testing.T) {
	t.Helper()
	c.replacementDelay, c.events, c.pause = contactTime, 10, 25*time.Millisecond
	c.crash, c.late = c.onPart, make(map[string]bool)
	if c.fault == platformtest.FaultNone {
		c.fault = platformtest.FaultCrash
	}
	if c.gap == 0 {
		c.gap = crashingPartGap
	}
	c.start(t)
	c.addWorker("led", "ledger", "z-a", "")
	for i := range 10 {
		c.addWorker(fmt.Sprintf("dec-%d", i), "models", []string{"z-a", "z-b"}[i%2], "decode")
	}
	for i := range 3 {
		c.addWorker(fmt.Sprintf("pre-%d", i), "models", []string{"z-a", "z-b"}[i%2], "prefill")
	}
	hosts := c.startHosts(c.hosts)
	began := time.Now()
	over := func() bool {
		known, ok := c.known()
		return ok && time.Since(known) > 2*contactTime+observedTime || time.Since(began) > maxPartTrial
	}
	var callers sync.WaitGroup
	if c.restartHost {
		callers.Go(func() { c.restart(hosts[0], over) })
	}
	for i, h := range hosts {
		callers.Go(func() { c.sendCulprits(h, i, over) })
		for n := range soundCallers {
			callers.Go(func() { c.sendSound(h, i*soundCallers+n, over) })
		}
	}
	callers.Wait()
	c.report()
}

func (c *partTrial) sendCulprits(h *host, caller int, over func() bool) {
	if !c.cold {
		time.Sleep(soundWarmUp)
	}
	if c.gap > crashingPartGap {
		time.Sleep(c.gap / time.Duration(c.hosts) * time.Duration(caller))
	}
	for n := 0; !over(); n++ {
		own := fmt.Sprintf("c%d-%d", caller, n)
		c.d.sendBody(h, "POST", c.path+own, promptParts(c.culprits[n%len(c.culprits)], own), "body "+own)
		time.Sleep(c.gap)
	}
}

func (c *partTrial) sendSound(h *host, caller int, over func() bool) {
	for n := 0; !over(); n++ {
		known, _ := c.known()
		settled, own := c.settled(), fmt.Sprintf("s%d-%d", caller, n)
		if c.cold && known.IsZero() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		got := c.d.sendBody(h, "POST", c.path+own, promptParts(c.sound[n%len(c.sound)], own), "body "+own)
		c.count(got, settled)
		time.Sleep(30 * time.Millisecond)
	}
}

// count counts the answer to a sound request.
func (c *partTrial) count(got response, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := got.status == http.StatusOK && got.err == nil
	if ok && len(c.crashes) == 0 {
		c.early++
	}
	if strings.Contains(got.body, "quarantined") || strings.Contains(got.body, "crashed") {
		c.refused++
	}
	if !settled {
		return
	}
	c.tried++
	if ok {
		c.answered++
	} else if len(c.failures) < 5 {
		c.failures = append(c.failures, fmt.Sprintf("%d %s %v", got.status, got.body, got.err))
	}
}

// restart restarts a host 1 s after the third crash.
func (c *partTrial) restart(h *host, over func() bool) {
	for ; !over(); time.Sleep(20 * time.Millisecond) {
		if known, ok := c.known(); ok && time.Since(known) > time.Second {
			h.stop()
			<-h.done
			c.d.runHost(&h.settings)
			return
		}
	}
}

func (c *partTrial) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d runs, %d crashes, %d requests late; sound requests: %d answered before the first crash, %d of %d after the part was known, %d refused",
		len(c.runs), len(c.crashes), len(c.late), c.early, c.answered, c.tried, c.refused)
	if len(c.late) > maxLateParts {
		knownred.Errorf(c.t, "%d requests with a part that had crashed %d upstreams reached upstreams later than %s afterwards, want at most %d",
			len(c.late), partCrashLimit, contactTime, maxLateParts)
	}
	if c.refused > 0 && !c.cold {
		knownred.Errorf(c.t, "%d sound requests were refused as if they crashed upstreams", c.refused)
	}
	if c.tried == 0 || c.answered < c.tried {
		knownred.Errorf(c.t, "%d of %d sound requests were answered later than %s after the part was known, want all: %q",
			c.answered, c.tried, 2*contactTime, c.failures)
	}
}

// A part of prompts that crashes the upstreams that begin to answer must not be sent on,
// however the requests that hold it differ, and sound requests must not suffer.
func TestCrashingPromptPartIsNotSentOn(t *testing.T) {
	middle := []string{"aa,bad"}
	sound := []string{"aa,c1", "aa,c2", "aa,c3"}
	for name, trial := range map[string]*partTrial{
		"stream":           {path: "/draft/", hosts: 3, culprits: middle, sound: sound},
		"resumable-stream": {path: "/note/", hosts: 3, culprits: middle, sound: sound},
		"answer-begun":     {path: "/draft/", hosts: 3, culprits: middle, sound: sound, fault: platformtest.FaultCrashStreaming},
		"first-part":       {path: "/draft/", hosts: 3, culprits: []string{"bad,c1"}, sound: []string{"aa,c1", "ab,c1"}},
		"third-of-five":    {path: "/note/", hosts: 3, culprits: []string{"aa,c1,bad,c2"}, sound: []string{"aa,c1,c3,c2", "aa,c1,c4,c2"}},
		"two-parts":        {path: "/draft/", hosts: 3, culprits: []string{"aa,bad1", "aa,bad2"}, sound: sound},
		"together":         {path: "/draft/", hosts: 3, culprits: []string{"aa,with,bad"}, sound: sound},
		"unknown-parts":    {path: "/draft/", hosts: 3, culprits: []string{"aa,bad,c*"}, sound: []string{"aa,c*", "aa,c1"}},
		"cold":             {path: "/draft/", hosts: 3, culprits: middle, sound: sound, cold: true},
		"host-restarted":   {path: "/draft/", hosts: 3, culprits: middle, sound: sound, restartHost: true},
		"rare":             {path: "/draft/", hosts: 6, culprits: middle, sound: sound, gap: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			playTrial(t, trial.play)
		})
	}
}
