package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// clientGap is half of the longest time between two requests of a client.
const clientGap = 150 * time.Millisecond

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// silentDrain replaces one of the three workers of the ledger, while the connections to the store go silent.
// It judges DRAIN.
func silentDrain(c *lab) bool {
	old := c.setUp(9)
	var silentAt time.Time
	c.served(1, clientGap, []step{
		{ms(5000), func() { c.register("i-21", ledger, zones[1]) }},
		{ms(5100), func() { silentAt = time.Now(); c.silenceStore() }},
		{ms(5300), func() { c.retire(old[1], drain+ms(2000)) }},
		{ms(13000), func() {}},
	})
	at := make(map[string]*sent)
	for _, s := range c.clients.all {
		at[s.id] = s
	}
	late, lost, last := 0, 0, time.Time{}
	inTouch := silentAt.Add(contact + slack)
	for _, n := range c.runs.all {
		acked, leaving := c.acked[n.worker]
		s := at[n.id]
		if !leaving || s == nil || !s.at.After(inTouch) || !s.at.After(acked.Add(drain+slack)) {
			continue
		}
		late++
		c.record.noteAt(n.at, "LATE     %s ran at %s, %.3f s after its leaving was acknowledged and %.3f s after the disruption", n.id, n.worker, n.at.Sub(acked).Seconds(), s.at.Sub(silentAt).Seconds())
		if n.cut {
			lost++
			c.record.noteAt(s.answered, "LOST     %s %s: status %d", n.id, s.path, s.status)
		}
		if n.at.After(last) {
			last = n.at
		}
	}
	c.record.say("%d requests that machines in touch took later than contact_ms after the disruption reached workers later than drain_ms after the store had acknowledged that they leave; %d of them were cut off as their worker exited", late, lost)
	if late > 0 {
		c.record.say("the last one arrived %.3f s after the disruption", last.Sub(silentAt).Seconds())
	}
	return late > 0
}

// silentConfig plays two changes of the configuration, with the connections to the store going silent
// between them. It judges CONFIG.
func silentConfig(c *lab) bool {
	c.setUp(9)
	var silentAt, acked time.Time
	c.served(1, clientGap, []step{
		{ms(5000), func() { c.configure(5, 900, ledger) }},
		{ms(5300), func() { silentAt = time.Now(); c.silenceStore() }},
		{ms(5500), func() { c.configure(9, 900, otherLedger); acked = time.Now() }},
		{ms(14000), func() {}},
	})
	at := make(map[string]*sent)
	for _, s := range c.clients.all {
		at[s.id] = s
	}
	late := 0
	for _, n := range c.runs.all {
		s := at[n.id]
		if s == nil || n.service != ledger || s.path != "/loops/17" || !s.at.After(silentAt.Add(contact+slack)) || !s.at.After(acked.Add(configApply+slack)) {
			continue
		}
		late++
		c.record.noteAt(n.at, "OLD      %s ran at the old service %s, %.3f s after the acknowledgement of configuration 9 and %.3f s after the disruption", n.id, n.service, s.at.Sub(acked).Seconds(), s.at.Sub(silentAt).Seconds())
	}
	c.record.say("%d requests that machines in touch took later than contact_ms after the disruption, and later than config_apply_ms after the acknowledgement, were run by the old service", late)
	return late > 0
}

const (
	// crashAfter is the time from the begin of the run that crashes a worker to the crash: less than the
	// time for which the client waits.
	crashAfter = 600 * time.Millisecond
	// backAfter is the time until the worker is back, and lapse that until its entry is removed: three
	// heartbeats.
	backAfter = 2 * time.Second
	lapse     = 3600 * time.Millisecond
	// retryGap is the time between two of the requests that crash workers.
	retryGap = 3 * time.Second
	// maxRetries is how often such a request may reach workers later than contact_ms after the third crash.
	maxRetries = 3
)

// crashLog holds the crashes of the workers.
type crashLog struct {
	mu  sync.Mutex
	all []time.Time
	// next numbers the workers that come back.
	next int
}

// arm lets a worker, and those that come back in its place, crash by the request.
func (l *crashLog) arm(c *lab, w *worker) {
	w.crashes = func(id string) {
		time.Sleep(crashAfter)
		l.mu.Lock()
		l.all = append(l.all, time.Now())
		l.next++
		next := fmt.Sprintf("i-%d", 100+l.next)
		l.mu.Unlock()
		c.record.note("crash    %s of worker %s", id, w.id)
		w.end()
		time.AfterFunc(lapse, func() { c.store.remove("servers", w.id) })
		time.AfterFunc(backAfter, func() { c.register(next, w.service, w.zone) })
	}
}

// lateCrash sends a request again and again that crashes the workers that run it. It judges BUDGET.
func lateCrash(c *lab) bool {
	var crashes crashLog
	c.prepare = func(w *worker) {
		if c.trouble {
			crashes.arm(c, w)
		}
	}
	c.setUp(9)
	var sending sync.WaitGroup
	var again []*sent
	sending.Go(func() {
		for n := range 15 {
			time.Sleep(time.Until(c.record.start.Add(5*time.Second + time.Duration(n)*retryGap)))
			k := &client{lab: c, host: c.hosts[rand.IntN(len(c.hosts))], allowed: time.Second}
			if s := k.call(http.MethodGet, "/loops"+crashingPath, ""); s != nil {
				again = append(again, s)
			}
			k.close()
		}
	})
	c.served(1, 430*time.Millisecond, []step{{52 * time.Second, func() {}}})
	sending.Wait()
	crashes.mu.Lock()
	all := crashes.all
	crashes.mu.Unlock()
	reached := make(map[string]int)
	lost := 0
	for _, n := range c.runs.all {
		reached[n.id]++
		if n.cut {
			lost++
		}
	}
	late, runs := 0, 0
	for _, s := range again {
		if len(all) < 3 || !s.at.After(all[2].Add(contact+slack)) || reached[s.id] == 0 {
			continue
		}
		late++
		runs += reached[s.id]
		c.record.noteAt(s.at, "LATE     %s reached %d workers, %.3f s after the third crash", s.id, reached[s.id], s.at.Sub(all[2]).Seconds())
	}
	c.record.say("the request was sent %d times and crashed %d workers; later than contact_ms after the third crash it reached workers in %d retries, %d times in all; %d requests of others were cut off by the crashes", len(again), len(all), late, runs, lost)
	return late > maxRetries
}

// draftTimeout is the deadline of a draft.
const draftTimeout = 14 * time.Second

// withEngines adds the service of the engines and its route, as on the sheet, and starts the engines.
func (c *lab) withEngines() []*engine {
	c.routes = []any{map[string]any{
		"name": "drafts", "host": callerName, "prefix": "/drafts/", "kind": "streaming", "timeout_ms": draftTimeout.Milliseconds(), field("target"): 1000,
		"priority": 1, "service": drafting, field("attempts"): 2, "sticky": true, "can_resume": true, "gap_target_ms": 300,
	}}
	c.services = []any{map[string]any{
		"name": drafting, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": engineSlots, "kv_capacity_tokens": engineTokens, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true,
			"stride": 13, "most": 12, field("handle life"): 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
		},
	}}
	engines := []*engine{
		newEngine(c, "e-1", zones[0], "prefill"), newEngine(c, "e-2", zones[0], "decode"),
		newEngine(c, "e-3", zones[1], "decode"), newEngine(c, "e-4", zones[2], "decode"),
	}
	for _, e := range engines {
		e.serve(c)
	}
	return engines
}

// silentWorker reloads the settings of hosts while engines preempt streams for a while. It judges LOST.
func silentWorker(c *lab) bool {
	for _, e := range c.withEngines() {
		if c.trouble {
			e.preemptAfter, e.preempted = 3, 2*time.Second
		}
	}
	c.setUp(9)
	var streams sync.WaitGroup
	hungUp := make(map[string]time.Time)
	c.play([]step{{ms(2000), func() {
		for i, h := range c.hosts[:5] {
			c.record.note("SIGHUP   to %s", h.name)
			hungUp[h.name] = time.Now()
			h.signal(syscall.SIGHUP)
			streams.Go(func() {
				time.Sleep(ms(500 + 100*i))
				k := &client{lab: c, host: h, allowed: draftTimeout}
				defer k.close()
				k.draft(i)
			})
		}
	}}})
	streams.Wait()
	lost := 0
	for _, s := range c.clients.all {
		if s.status != 0 || s.at.After(hungUp[s.host].Add(configApply)) || s.answered.Sub(s.at) >= draftTimeout {
			continue
		}
		lost++
		c.record.noteAt(s.answered, "LOST     %s was read and passed on, and ended without a complete answer %.3f s after it was sent: %s", s.id, s.answered.Sub(s.at).Seconds(), s.fail)
	}
	c.record.say("%d of %d streams that clients sent within config_apply_ms after the SIGHUP of their host were broken off by the host, while their engines were silent and would have gone on", lost, len(c.clients.all))
	return lost > 0
}

const (
	// dropTime is how long an engine may still work on a request that goes on at another one.
	dropTime = 400 * time.Millisecond
	// streamsPerSecond is the rate of the streams of all clients, as on the sheet.
	streamsPerSecond = 10
	spoiledTime      = 24 * time.Second
)

// twoEngines lets two of four decode engines spoil some of their answers. One of the four does not drop a request
// when its connection closes. It judges TWICE.
func twoEngines(c *lab) bool {
	engines := c.withEngines()
	extra := newEngine(c, "e-5", zones[0], "decode")
	extra.serve(c)
	for _, e := range []*engine{engines[3], extra} {
		if c.trouble {
			e.spoilEach = 20
		}
	}
	extra.keeps = true
	c.setUp(9)
	var streams sync.WaitGroup
	for i := range int(spoiledTime.Seconds()) * streamsPerSecond {
		streams.Go(func() {
			time.Sleep(time.Until(c.record.start.Add(time.Duration(i) * time.Second / streamsPerSecond)))
			k := &client{lab: c, host: c.hosts[i%len(c.hosts)], allowed: draftTimeout}
			defer k.close()
			k.draft(i)
		})
	}
	streams.Wait()
	time.Sleep(ms(2000))
	c.spans.mu.Lock()
	defer c.spans.mu.Unlock()
	before := make(map[string]*span)
	twice := 0
	for _, n := range c.spans.all {
		if b := before[n.id]; b != nil && b.engine != n.engine && b.stopped.Sub(n.begun) > dropTime+slack {
			twice++
			c.record.noteAt(n.begun, "TWICE    %s goes on at engine %s; engine %s works on it for %.3f s more", n.id, n.engine, b.engine, b.stopped.Sub(n.begun).Seconds())
		}
		before[n.id] = n
	}
	c.record.say("%d of %d streams went on at another engine while the one before worked on them for over 400 ms more", twice, len(c.clients.all))
	return twice > 0
}
