package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	modelService = "drafting-models"
	modelPrefix  = "/captions/"
	modelPath    = "/captions/2f"
	// poisonPath is the path of the request that crashes the engines that run it.
	poisonPath    = "/captions/poison"
	modelDeadline = 14 * time.Second
	// modelObjective is the sheet's latency objective of its streams; clients that give up leave within
	// half of it.
	modelObjective = time.Second
	leaveAfter     = modelObjective / 2
	// crashAfter is the time from the arrival of the request at a decode engine, which sends the first
	// token at once, to the crash of that engine. Engines may be at work for half a second after the
	// client has left.
	crashAfter = 600 * time.Millisecond
	// backAfter is how long a crashed engine is down.
	backAfter = 3 * time.Second
	// The client sends the request sentAtOnce times, sendGap apart, and gives up each time. That happens
	// in several spells, each shorter than those of the site file, with pauseTime between them.
	sentAtOnce = 3
	sendGap    = 1600 * time.Millisecond
	spells     = 4
	pauseTime  = 5 * time.Second
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
	// streamsPerHost is the rate of sound streams at each host; the sheet has 10.4 a second in all.
	streamsPerHost = 3
)

// poisonedStreams plays a streaming request that crashes each engine that runs it and comes again. Its
// client gives up within half of its latency objective, shortly before the crash; without the
// disruption it stays. It checks BUDGET.
func poisonedStreams(l *lab, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	var ending sync.WaitGroup
	current := make(map[string]*platformtest.Worker)
	defer func() {
		ending.Wait()
		mu.Lock()
		defer mu.Unlock()
		for _, w := range current {
			w.Close()
		}
	}()
	onArrival := func(w *platformtest.Worker, r *http.Request) {
		id := r.Header.Get(wire.HeaderRequestID)
		l.note("request %s reaches engine %s started at %d, %s, stage header %q", id, w.ID, w.BornMillis(), r.URL.Path, r.Header.Get(wire.HeaderStage))
		if r.URL.Path != poisonPath || r.Header.Get(wire.HeaderStage) != "" {
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		ending.Go(func() {
			time.Sleep(crashAfter)
			w.End(w.Version)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			l.note("engine %s crashes with request %s", w.ID, id)
			time.Sleep(backAfter)
			next, err := w.Restart()
			if err != nil {
				l.note("engine %s is not back: %v", w.ID, err)
				return
			}
			mu.Lock()
			current[next.ID] = next
			mu.Unlock()
			next.Register(l.store, "ready")
			l.note("engine %s is back, started at %d", next.ID, next.BornMillis())
		})
	}
	zones := []string{"dakar-a", "dakar-b", "dakar-c"}
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		w := platformtest.NewWorker(fmt.Sprintf("i-%s-%d", stage, i), modelService, zones[i%3], stage)
		w.SetStream(68, 30*time.Millisecond)
		w.OnArrival(onArrival)
		current[w.ID] = w
		w.Register(l.store, "ready")
	}
	l.store.Configure(1, hostName, []platformtest.Route{{Prefix: modelPrefix, Kind: platformtest.KindStream, Service: modelService, Attempts: 1, Engine: true}})
	if err := l.startHosts(3); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var loads sync.WaitGroup
	var sound, refused int
	for _, h := range l.hosts {
		loads.Go(func() {
			l.load(streamsPerHost, stop, func(c *http.Client) {
				own := rand.Uint32()
				status := l.stream(c, h, modelPath, fmt.Sprint(own), fmt.Sprintf("5c1e07a2:200,%08x:3000", own), modelDeadline)
				mu.Lock()
				defer mu.Unlock()
				sound++
				if status == http.StatusServiceUnavailable {
					refused++
				}
			})
		})
	}
	defer func() {
		close(stop)
		loads.Wait()
	}()
	time.Sleep(4 * time.Second)
	client := newClient()
	defer client.CloseIdleConnections()
	for n := range spells * sentAtOnce {
		wait := modelDeadline
		if trouble {
			wait = leaveAfter
		}
		next := time.Now().Add(sendGap)
		l.stream(client, l.hosts[n%len(l.hosts)], poisonPath, "poison", "5c1e07a2:200,7e01a9d4:3000", wait)
		if (n+1)%sentAtOnce == 0 {
			next = next.Add(pauseTime)
		}
		time.Sleep(time.Until(next))
	}
	mu.Lock()
	defer mu.Unlock()
	if sound == 0 || len(crashes) < maxRetries {
		return verdict{}, errSetup
	}
	bound := crashes[maxRetries-1].Add(contactTime)
	late := 0
	for _, at := range arrivals {
		if at.After(bound) {
			late++
		}
	}
	return verdict{late > maxRetries, fmt.Sprintf(
		"the request crashed %d engines and reached engines %d times later than contact_ms after the third crash; of %d sound streams %d were refused with 503",
		len(crashes), late, sound, refused)}, nil
}

// stream sends a streaming request, reads its events and returns its status. The client leaves after
// a time.
func (l *lab) stream(client *http.Client, h *host, path, content, parts string, leave time.Duration) int {
	id := fmt.Sprintf("%016x", l.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), leave)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+path, strings.NewReader(strings.Repeat(content, 20)))
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderDeadline, fmt.Sprint(modelDeadline.Milliseconds()))
	if name, value, given := strings.Cut(l.header, ": "); given {
		req.Header.Set(name, value)
	}
	req.Header.Set(wire.HeaderTokenCount, "3200,68")
	req.Header.Set(wire.HeaderPromptParts, parts)
	l.note("request %s sent to %s, POST %s", id, h.name, path)
	resp, err := client.Do(req)
	if err != nil {
		l.note("request %s got no answer: %v", id, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	l.note("request %s answered %d, %d bytes, whole %t", id, resp.StatusCode, n, err == nil)
	return resp.StatusCode
}
