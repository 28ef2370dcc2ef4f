package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"greengagespoke/internal/window"
	"greengagespoke/platform/platformtest"
)

const (
	// rateWindow is the time in which the requests to a worker with a rate limit are
	// counted, of which rateTolerance times the limit and rateExtra are allowed.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateExtra     = 5
	// maxRateLimit bounds the limits that workers state, in requests a second.
	maxRateLimit = 3.0
	// limitedSuffix ends the identifiers of the workers that state a limit after the faults.
	// All services have others, which have room.
	limitedSuffix = "-1"
)

// limits holds the rate limits that processes of workers state after the faults. The next
// process of a worker states none.
type limits struct {
	rates map[*platformtest.Worker]float64
	since time.Time
}

// limitWorker makes a worker state a rate limit for some time.
func (r *run) limitWorker(length time.Duration) {
	workers := r.currentWorkers()
	w := workers[r.draw.IntN(len(workers))]
	w.SetRateLimit(drawLimit(r.draw))
	time.AfterFunc(3*length, func() {
		if r.healed.Load() == 0 {
			w.SetRateLimit("")
		}
	})
}

func drawLimit(draw *rand.Rand) string {
	return strconv.FormatFloat(0.5+draw.Float64()*(maxRateLimit-0.5), 'f', 2, 64)
}

// stateLimits makes one worker of each service and role state a rate limit from now on, and
// the others none.
func (r *run) stateLimits() {
	r.limits = limits{rates: make(map[*platformtest.Worker]float64), since: time.Now()}
	for _, w := range r.currentWorkers() {
		if !strings.HasSuffix(w.ID, limitedSuffix) {
			w.SetRateLimit("")
			continue
		}
		text := drawLimit(r.draw)
		w.SetRateLimit(text)
		r.limits.rates[w], _ = strconv.ParseFloat(text, 64)
	}
}

// checkLimits checks that no worker got more than its limit allows, contactTime after it
// stated it. As the platform's rule counts hosts that a response has told the limit only,
// one request is allowed for each host that learns it later.
func (r *run) checkLimits() {
	for w, rate := range r.limits.rates {
		from := r.limits.since.Add(contactTime)
		late := r.toldLater(w.ID, rate, from)
		allowed := rateTolerance*rateWindow.Seconds()*rate + rateExtra + float64(late)
		if n := window.Busiest(w.Arrivals(), rateWindow, from); float64(n) > allowed {
			r.ledger.find("worker %s with a limit of %.2f a second got %d requests in %s, want at most %.1f with %d hosts that learned it then",
				w.ID, rate, n, rateWindow, allowed, late)
		}
	}
}

// toldLater returns the number of hosts that learned the limit of a worker at the time from
// or later, by their logs.
func (r *run) toldLater(worker string, rate float64, from time.Time) int {
	n := 0
	for _, h := range r.hosts {
		at, told := h.firstLogged(r.limits.since, fmt.Sprintf("process=\"%s/", worker), fmt.Sprintf(" rate=%v ", rate))
		if told && !at.Before(from) {
			n++
		}
	}
	return n
}
