package keeper

import "time"

// predictedWait estimates how long a waiting request waits for a place: the
// requests before it over the rate at which places become free.
func (g *group) predictedWait(w *waiter) time.Duration {
	busy := 0
	for _, d := range g.decode {
		busy += d.slots
	}
	if busy == 0 {
		return 0
	}
	hold := g.meanHold(w)
	return time.Duration(float64(hold) * float64(g.queue.Ahead(&w.entry)+1) / float64(busy))
}

// meanHold is the mean time for which a place is held.
func (g *group) meanHold(w *waiter) time.Duration {
	if g.pace.hold.count > 0 {
		return time.Duration(g.pace.hold.mean)
	}
	tokens := g.route(w.req.Route).expected(w.req.OutputTokens)
	return time.Duration(tokens) * g.pace.tokenInterval()
}

// leadTime is the least time between a grant and the first token: the prefill
// on the upstream that is free first, without a cached prefix.
func (g *group) leadTime(w *waiter, now time.Time) time.Duration {
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
