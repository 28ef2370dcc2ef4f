package keeper

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
)

// promisePoll bounds a call that waits for a promised place.
const promisePoll = time.Second

// promise marks a grant whose place is predicted to become free.
func (d *decodeState) promise(g *grant) {
	g.promised, g.early = true, true
	g.confirmed = make(chan struct{})
	d.promises = append(d.promises, g)
	d.promisedPieces += g.Pieces
}

// unpromise removes the mark.
func (d *decodeState) unpromise(g *grant) {
	if !g.promised {
		return
	}
	g.promised = false
	close(g.confirmed)
	d.promises = slices.DeleteFunc(d.promises, func(p *grant) bool { return p == g })
	d.promisedPieces -= g.Pieces
}

// unused returns the slots that are free now, with those that are promised.
func (d *decodeState) unused() int { return d.freeSlots() + len(d.promises) }

// hasPlace returns whether a promised grant could have a place now.
func (d *decodeState) hasPlace(g *grant) bool {
	return d.unused() > 0 && d.freePieces()+d.promisedPieces >= g.Pieces
}

// confirmPromises gives free places to promised grants before any new request
// receives one. Those whose gate asks go first, the longest asking first, as
// their prefill result expires; they may be moved to another upstream, as the
// gate learns of it before it starts the transfer. The others need no place yet.
func (g *group) confirmPromises(now time.Time) {
	for _, gr := range g.asking() {
		if to := g.placeFor(gr, now); to != nil {
			g.keep(gr, to, now)
		}
	}
	for _, d := range g.decode {
		for len(d.promises) > 0 && now.Sub(d.promises[0].due) > promisePoll && d.hasPlace(d.promises[0]) {
			g.keep(d.promises[0], d, now)
		}
	}
}

// asking returns the promised grants whose gates wait for the place, the longest
// waiting first.
func (g *group) asking() []*grant {
	var asking []*grant
	for _, d := range g.decode {
		for _, gr := range d.promises {
			if gr.asking > 0 {
				asking = append(asking, gr)
			}
		}
	}
	slices.SortStableFunc(asking, func(a, b *grant) int { return a.asked.Compare(b.asked) })
	return asking
}

// placeFor returns the upstream on which a promised grant can have a place now:
// its own, or the one with the most free places.
func (g *group) placeFor(gr *grant, now time.Time) *decodeState {
	own := g.byDecode[gr.Decode]
	if own.hasPlace(gr) {
		return own
	}
	var best *decodeState
	for _, d := range g.decode {
		if !d.hasPlace(gr) || !d.usable(now) || d.reservedFor != nil {
			continue
		}
		if slices.Contains(gr.avoid, d.up.ID) || (gr.Suspect && d.suspects > 0) {
			continue
		}
		if best == nil || d.unused() > best.unused() {
			best = d
		}
	}
	return best
}

// keep gives a promised grant its place.
func (g *group) keep(gr *grant, on *decodeState, now time.Time) {
	if now.After(gr.due) {
		g.keeper.metrics.promisesLate.Add(1)
	}
	gr.DecodeIn = 0
	own := g.byDecode[gr.Decode]
	if own == on {
		own.unpromise(gr)
		return
	}
	own.give(gr)
	gr.Decode = on.up.ID
	on.take(gr)
	g.keeper.metrics.promisesMoved.Add(1)
}

// awaitPlace waits until a promised grant's place is free and returns the grant
// as it is then. After promisePoll, it returns the grant with the promise still
// open.
func (g *group) awaitPlace(ctx context.Context, gr *grant) domain.Grant {
	timer := time.NewTimer(promisePoll)
	defer timer.Stop()
	select {
	case <-gr.confirmed:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gr.asking--
	grant := gr.Grant
	if gr.promised {
		grant.DecodeIn = max(time.Millisecond, time.Until(gr.due))
	}
	return grant
}
