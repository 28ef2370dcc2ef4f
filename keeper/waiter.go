package keeper

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/fairqueue"
)

// waiter is a request that waits for a grant.
type waiter struct {
	req   domain.PlaceRequest
	entry fairqueue.Entry[*waiter]
	// calls is the number of Acquire calls that wait for the outcome, and
	// lastCall the time at which the last one ended.
	calls    int
	lastCall time.Time
	arrived  time.Time
	// deadline is when the first token is due; zero on patient requests.
	deadline time.Time
	// blockers is the number of older attempts that have not ended yet.
	blockers int
	// done is closed when there is an outcome.
	done  chan struct{}
	grant domain.Grant
	err   error
}

func newWaiter(req domain.PlaceRequest, cost float64, now time.Time) *waiter {
	w := &waiter{req: req, arrived: now, lastCall: now, done: make(chan struct{})}
	w.entry = fairqueue.Entry[*waiter]{
		Value:  w,
		Caller: req.ID.Caller,
		Class:  req.Class,
		Weight: req.Weight,
		Cost:   cost,
	}
	if req.Class != domain.ClassPatient && req.FirstTokenLeft > 0 {
		w.deadline = now.Add(req.FirstTokenLeft)
	}
	return w
}

// left returns what is left of the first-token target; false means no target.
func (w *waiter) left(now time.Time) (time.Duration, bool) {
	if w.deadline.IsZero() {
		return 0, false
	}
	return w.deadline.Sub(now), true
}
