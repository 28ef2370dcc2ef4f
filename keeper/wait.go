package keeper

import "time"

// predictedWait estimates how long a waiting request waits for a slot: the
// number of requests ahead of it divided by the rate at which slots become free.
func (g *group) predictedWait(w *waiter) time.Duration {
	heldSlots := 0
	for _, d := range g.decode {
		heldSlots += d.slots
	}
	if heldSlots == 0 {
		return 0
	}
	hold := g.meanHoldTime(w)
	return time.Duration(float64(hold) * float64(g.queue.Ahead(&w.entry)+1) / float64(heldSlots))
}

// meanHoldTime returns the mean time for which a slot is held.
func (g *group) meanHoldTime(w *waiter) time.Duration {
	if g.pace.holdTime.count > 0 {
		return time.Duration(g.pace.holdTime.mean)
	}
	tokens := g.lengthEstimator(w.req.Route).expectedTokens(w.req.OutputTokens)
	return time.Duration(tokens) * g.pace.tokenInterval()
}

// minTimeToFirstToken returns the least time between a grant and the first
// token: the time until the prefill ends on the upstream that would end it
// first, without a cached prefix.
func (g *group) minTimeToFirstToken(w *waiter, now time.Time) time.Duration {
	lead := time.Duration(-1)
	for _, p := range g.prefill {
		if !p.usable(now) || p.up.PrefillRate <= 0 {
			continue
		}
		work := time.Duration(float64(w.req.PromptTokens) / float64(p.up.PrefillRate) * float64(time.Second))
		end := max(0, p.busyUntil.Sub(now)) + work
		if lead < 0 || end < lead {
			lead = end
		}
	}
	return max(0, lead)
}
