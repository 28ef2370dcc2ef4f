package keeper

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/fairqueue"
)

// waiter is a request that waits for a grant.
type waiter struct {
	req   domain.SlotRequest
	entry fairqueue.Entry[*waiter]
	// activeCalls is the number of Acquire calls that wait for the outcome, and
	// lastCallEnd is the time at which the last one ended.
	activeCalls int
	lastCallEnd time.Time
	arrived     time.Time
	// firstTokenDeadline is the time at which the first token is due; zero for
	// patient requests and for requests without a target.
	firstTokenDeadline time.Time
	// blockingAttempts is the number of older attempts that have not ended yet.
	blockingAttempts int
	// done is closed once grant and err hold the outcome.
	done  chan struct{}
	grant domain.Grant
	err   error
}

func newWaiter(req domain.SlotRequest, cost float64, now time.Time) *waiter {
	w := &waiter{req: req, arrived: now, lastCallEnd: now, done: make(chan struct{})}
	w.entry = fairqueue.Entry[*waiter]{
		Value:  w,
		Caller: req.ID.Caller,
		Class:  req.Class,
		Weight: req.Weight,
		Cost:   cost,
	}
	if req.Class != domain.ClassPatient && req.FirstTokenRemaining > 0 {
		w.firstTokenDeadline = now.Add(req.FirstTokenRemaining)
	}
	return w
}

// firstTokenTimeLeft returns the time left until the first token is due, and
// false if the request has no first-token target.
func (w *waiter) firstTokenTimeLeft(now time.Time) (time.Duration, bool) {
	if w.firstTokenDeadline.IsZero() {
		return 0, false
	}
	return w.firstTokenDeadline.Sub(now), true
}
