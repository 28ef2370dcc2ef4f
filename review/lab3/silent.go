package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"greengagespoke/platform/platformtest"
)

const (
	ledgerService = "field-ledger"
	ledgerPath    = "/closures/2f"
	ledgerPrefix  = "/closures/"
	// ledgerDeadline is that of the sheet's requests that must not run twice.
	ledgerDeadline = time.Second
	// requestsPerHost is the rate at each host; the sheet has 20.7 a second for the service.
	requestsPerHost = 7
	// watchTime is how long requests are watched after hosts are in touch again.
	watchTime = 2 * time.Second
	// inFlight is the time that a request may take from a host to a worker on loopback.
	inFlight = 50 * time.Millisecond
)

// silentConnections plays the replacement of one worker while the open connections to the store go
// silent: the new worker registers, the operator changes the configuration, the connections go
// silent, and the old worker reports that it drains. It checks DRAIN.
func silentConnections(l *lab, trouble bool) (verdict, error) {
	var mu sync.Mutex
	type arrival struct {
		at time.Time
		id string
	}
	arrivals := make(map[string][]arrival)
	newWorker := func(id, zone string) *platformtest.Worker {
		w := platformtest.NewWorker(id, ledgerService, zone, "")
		w.SetLatency(15 * time.Millisecond)
		w.OnArrival(func(w *platformtest.Worker, r *http.Request) {
			id := r.Header.Get("Greengagespoke-Request-Id")
			l.note("request %s reaches worker %s", id, w.ID)
			mu.Lock()
			defer mu.Unlock()
			arrivals[w.ID] = append(arrivals[w.ID], arrival{time.Now(), id})
		})
		return w
	}
	routes := []platformtest.Route{{Prefix: ledgerPrefix, Kind: platformtest.KindOnce, Service: ledgerService, Attempts: 2}}
	old, other := newWorker("i-old", "dakar-a"), newWorker("i-other", "dakar-b")
	defer old.Close()
	defer other.Close()
	l.store.Configure(1, hostName, routes)
	old.Register(l.store, "ready")
	other.Register(l.store, "ready")
	if err := l.startHosts(3); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var loads sync.WaitGroup
	for _, h := range l.hosts {
		loads.Go(func() {
			l.load(h, requestsPerHost, stop, func(c *http.Client) {
				l.send(c, h, http.MethodPost, ledgerPath, ledgerDeadline, `{"closure":1}`)
			})
		})
	}
	defer func() {
		close(stop)
		loads.Wait()
	}()
	time.Sleep(4 * time.Second)
	mu.Lock()
	served := len(arrivals[old.ID])
	mu.Unlock()
	if served == 0 {
		return verdict{}, errSetup
	}

	next := newWorker("i-new", "dakar-a")
	defer next.Close()
	next.Register(l.store, "ready")
	l.note("worker %s registers", next.ID)
	time.Sleep(450 * time.Millisecond)
	l.store.Configure(2, hostName, append(routes, platformtest.Route{Prefix: "/added/", Kind: platformtest.KindRepeat, Service: ledgerService, Attempts: 2}))
	l.note("configuration 2 acknowledged")
	time.Sleep(200 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		for _, h := range l.hosts {
			l.note("connections of %s to the store go silent: %d", h.name, h.link.silence())
		}
	}
	time.Sleep(100 * time.Millisecond)
	old.Register(l.store, "draining")
	drainedAt := time.Now()
	l.note("worker %s reports that it drains, acknowledged", old.ID)

	// Hosts are in touch contactTime after the connections went silent.
	bound := drainedAt.Add(drainTime)
	if inTouch := silentAt.Add(contactTime); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	bound = bound.Add(inFlight)
	time.Sleep(time.Until(bound.Add(watchTime)))
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range arrivals[old.ID] {
		if a.at.After(bound) {
			late++
			last = a.at.Sub(drainedAt)
			l.note("request %s reached worker %s %.3f s after its report was acknowledged", a.id, old.ID, last.Seconds())
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached the draining worker later than drain_ms, from hosts in touch; the last %.2f s after the report", late, last.Seconds())}, nil
}
