package urgency

import "time"

// rateWindow is the time over which Rate counts. It is several times the duration of a short
// request, so that places that become free in groups count evenly.
const rateWindow = 2 * time.Second

// Rate counts the events of the last seconds. The zero value has counted none.
type Rate struct {
	began           time.Time
	previous, count int
	// known says that previous is the count of a whole window.
	known bool
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	r.advance(now)
	r.count++
}

// Count returns the events counted and the time over which they were, or 0 events if they were not
// counted for long enough.
func (r *Rate) Count(now time.Time) (int, time.Duration) {
	r.advance(now)
	if !r.known {
		return 0, rateWindow
	}
	return r.previous + r.count, rateWindow + now.Sub(r.began)
}

func (r *Rate) advance(now time.Time) {
	switch elapsed := now.Sub(r.began); {
	case elapsed >= 2*rateWindow:
		*r = Rate{began: now}
	case elapsed >= rateWindow:
		*r = Rate{began: r.began.Add(rateWindow), previous: r.count, known: true}
	}
}
