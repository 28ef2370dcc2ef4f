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
	g.promised = true
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

// hasPlace returns whether a promised grant's place is free by now.
func (d *decodeState) hasPlace(g *grant) bool {
	return d.freeSlots()+len(d.promises) > 0 && d.freePieces()+d.promisedPieces >= g.Pieces
}

// confirmPromises gives free places to promised grants before any new request
// receives one. Grants whose prefill has ended, so that their gates ask for the
// place, take the first free place of the group; the others wait for their own
// upstream, the oldest first.
func (g *group) confirmPromises(now time.Time) {
	for _, gr := range g.askedPromises() {
		if to := g.freePlace(gr, now); to != nil {
			g.keepPromise(gr, now)
			g.move(gr, to)
		}
	}
	for _, d := range g.decode {
		for len(d.promises) > 0 && d.hasPlace(d.promises[0]) {
			g.keepPromise(d.promises[0], now)
		}
	}
}

// askedPromises returns the promised grants that gates wait for, in order of
// their predicted times.
func (g *group) askedPromises() []*grant {
	var asked []*grant
	for _, d := range g.decode {
		for _, gr := range d.promises {
			if gr.asking > 0 {
				asked = append(asked, gr)
			}
		}
	}
	slices.SortStableFunc(asked, func(a, b *grant) int { return a.due.Compare(b.due) })
	return asked
}

// keepPromise gives a promised grant its place.
func (g *group) keepPromise(gr *grant, now time.Time) {
	if d, ok := g.byDecode[gr.Decode]; ok {
		d.unpromise(gr)
	}
	gr.DecodeIn = 0
	// A crash before this time did not hit the grant.
	gr.placed = now
	if now.After(gr.due) {
		g.keeper.metrics.promisesLate.Add(1)
	}
}

// freePlace returns the decode upstream that can take a promised grant at once:
// its own, or else the one with the most free slots. Places that are promised to
// grants whose gates do not ask yet count as free.
func (g *group) freePlace(gr *grant, now time.Time) *decodeState {
	var best *decodeState
	for _, d := range g.decode {
		if !d.hasPlace(gr) || !d.usable(now) {
			continue
		}
		if d.up.ID == gr.Decode {
			return d
		}
		if d.reservedFor != nil || slices.Contains(gr.avoid, d.up.ID) || gr.Suspect {
			continue
		}
		if best == nil || d.freeSlots() > best.freeSlots() {
			best = d
		}
	}
	return best
}

// move takes a confirmed grant to another decode upstream.
func (g *group) move(gr *grant, to *decodeState) {
	if gr.Decode == to.up.ID {
		return
	}
	g.byDecode[gr.Decode].give(gr)
	gr.Decode = to.up.ID
	to.take(gr)
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
