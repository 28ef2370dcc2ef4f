package keeper

import (
	"time"
)

// lookAheadInterval is the time between dispatches while requests wait and the
// policy promises predicted releases.
const lookAheadInterval = 20 * time.Millisecond

// scheduleLookAhead dispatches again in a moment where time alone may make a
// promise possible.
func (g *group) scheduleLookAhead() {
	if g.queue.Len() == 0 || !g.keeper.cfg.Policy.LooksAhead() {
		return
	}
	if g.lookAhead == nil {
		g.lookAhead = time.AfterFunc(lookAheadInterval, g.lookAgain)
		return
	}
	g.lookAhead.Reset(lookAheadInterval)
}

func (g *group) lookAgain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// lookAheadAll sets the releases in the snapshot that may be promised.
func (g *group) lookAheadAll(now time.Time) {
	policy := g.keeper.cfg.Policy
	if !policy.LooksAhead() {
		return
	}
	rates, total, promised := g.rates[:0], 0.0, 0
	for _, d := range g.decode {
		rate := g.releaseRate(d, now)
		rates = append(rates, rate)
		total += rate
		promised += len(d.promises)
	}
	g.rates = rates
	for i, d := range g.decode {
		g.snap.Decode[i].Freeing = g.snap.Decode[i].Freeing[:0]
		if rates[i] == 0 || d.freeSlots() > 0 || len(d.promises) >= maxPromises {
			continue
		}
		o := Outlook{
			Rate: rates[i], GroupRate: total,
			Promised: len(d.promises), GroupPromised: promised,
			Pieces: d.leastPieces(),
		}
		g.snap.Decode[i].Freeing = policy.Freeing(o, g.snap.Decode[i].Freeing)
	}
}

// releaseRate is the expected number of releases of a decode upstream per second.
func (g *group) releaseRate(d *decodeState, now time.Time) float64 {
	rate := 0.0
	if !d.usable(now) {
		return 0
	}
	for _, gr := range d.grants {
		if !gr.promised {
			rate += 1 / max(g.remaining(gr, now), leastRemaining).Seconds()
		}
	}
	return rate
}

// leastPieces is the least memory of the grants whose place is in use.
func (d *decodeState) leastPieces() int {
	least := 0
	for _, gr := range d.grants {
		if !gr.promised && (least == 0 || gr.Pieces < least) {
			least = gr.Pieces
		}
	}
	return least
}
