package soak

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// headerSoakHost and headerSoakSent say which host a caller sent a request to, and when.
	headerSoakHost, headerSoakSent = "Soak-Host", "Soak-Sent"
	// leavingSuffix ends the identifiers of the workers that say after the faults that they
	// leave, restingSuffix those of the workers that ask for rest of restSeconds.
	leavingSuffix, restingSuffix = "-3", "-2"
	restSeconds                  = 2
	// drainTime is the time after which a request must not reach a worker that leaves, from when
	// its host has passed on that it does.
	drainTime = 2 * time.Second
	// restGrace is the time after a rejection from which on a worker at rest must get no more
	// than maxRestRequests from that host.
	restGrace       = 500 * time.Millisecond
	maxRestRequests = 2
)

// words holds what workers said after the faults, and what reached them.
type words struct {
	mu sync.Mutex
	// from and to bound the time in which requests are counted.
	from, to time.Time
	// told is when a host first passed on that a worker leaves, rejected when a worker asked a
	// host for rest, and rested when requests reached it then.
	told             map[wordLink]time.Time
	rejected, rested map[wordLink][]time.Time
	// born is the start of the newest process of a worker that was reached.
	born map[string]int64
	// late holds what reached a worker too late.
	late []string
}

// wordLink is a host and a worker.
type wordLink struct{ host, worker string }

// String returns the link as a finding names it.
func (l wordLink) String() string { return l.worker + " from " + l.host }

func newWords() words {
	return words{told: make(map[wordLink]time.Time), rejected: make(map[wordLink][]time.Time), rested: make(map[wordLink][]time.Time), born: make(map[string]int64)}
}

// leaveWorker makes a worker say that it leaves, and ends its process a while later.
func (r *run) leaveWorker(length time.Duration) {
	workers := r.currentWorkers()
	w := workers[r.draw.IntN(len(workers))]
	w.SetLeaving("1")
	time.AfterFunc(2*length, func() { w.End(w.Version) })
}

// restWorker makes a worker reject all requests and ask for rest.
func (r *run) restWorker(length time.Duration) {
	workers := r.currentWorkers()
	w := workers[r.draw.IntN(len(workers))]
	w.SetRest(strconv.FormatFloat(length.Seconds(), 'f', 2, 64))
	time.AfterFunc(length, func() {
		if r.healed.Load() == 0 {
			w.SetRest("")
		}
	})
}

// speak makes one worker of each service and role say that it leaves, and another one ask for rest,
// from now on. Requests are counted once hosts have had the time to act on the faults, and no longer
// than until the next ones.
func (r *run) speak() {
	r.words.mu.Lock()
	r.words.from, r.words.to = time.Now().Add(contactTime), time.Now().Add(settle)
	r.words.mu.Unlock()
	for _, w := range r.currentWorkers() {
		w.SetRest("")
		switch {
		case strings.HasSuffix(w.ID, leavingSuffix):
			w.SetLeaving("1")
		case strings.HasSuffix(w.ID, restingSuffix):
			w.SetRest(strconv.Itoa(restSeconds))
		}
	}
}

// observe notes that a host passed on an answer of a worker.
func (w *words) observe(host string, h http.Header) {
	if h.Get(wire.HeaderLeaving) != "1" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	link := wordLink{host, strings.TrimPrefix(h.Get(wire.HeaderSeal), "seal-")}
	if _, known := w.told[link]; !known && time.Now().After(w.from) && !w.from.IsZero() {
		w.told[link] = time.Now()
	}
}

// arrived counts a request that reaches a worker.
func (w *words) arrived(worker *platformtest.Worker, req *http.Request) {
	sentNanos, err := strconv.ParseInt(req.Header.Get(headerSoakSent), 10, 64)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now, link := time.Now(), wordLink{req.Header.Get(headerSoakHost), worker.ID}
	if w.from.IsZero() || now.Before(w.from) || now.After(w.to) {
		return
	}
	w.forgetEarlier(worker)
	if told, ok := w.told[link]; ok && time.Unix(0, sentNanos).After(told.Add(drainTime)) {
		w.late = append(w.late, fmt.Sprintf("%s to %s %s after its word that it leaves", req.Header.Get(wire.HeaderRequestID), link, now.Sub(told)))
	}
	if !worker.Resting() {
		return // Also the next process of one that did.
	}
	for _, at := range w.rejected[link] {
		n := 0
		for _, other := range append(w.rested[link], now) {
			if since := other.Sub(at); since > restGrace && since < restSeconds*time.Second {
				n++
			}
		}
		if n > maxRestRequests {
			w.late = append(w.late, fmt.Sprintf("%s to %s %s after it asked for rest", req.Header.Get(wire.HeaderRequestID), link, now.Sub(at)))
			break
		}
	}
	w.rested[link] = append(w.rested[link], now)
	w.rejected[link] = append(w.rejected[link], now)
}

// forgetEarlier forgets what an earlier process of a worker said. The caller holds the lock.
func (w *words) forgetEarlier(worker *platformtest.Worker) {
	if w.born[worker.ID] >= worker.BornMillis() {
		return
	}
	w.born[worker.ID] = worker.BornMillis()
	isEarlier := func(link wordLink) bool { return link.worker == worker.ID }
	maps.DeleteFunc(w.told, func(link wordLink, _ time.Time) bool { return isEarlier(link) })
	maps.DeleteFunc(w.rejected, func(link wordLink, _ []time.Time) bool { return isEarlier(link) })
	maps.DeleteFunc(w.rested, func(link wordLink, _ []time.Time) bool { return isEarlier(link) })
}

// checkWords checks that workers that leave or rest got no requests too late.
func (r *run) checkWords() {
	r.words.mu.Lock()
	defer r.words.mu.Unlock()
	if late := r.words.late; len(late) > 0 {
		r.ledger.find("%d requests reached workers too late, the first: %s", len(late), late[0])
	}
}
