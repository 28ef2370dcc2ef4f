package keeper

import (
	"cmp"
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

// confirmPromises gives free places to the grants that were promised them, the
// oldest first, before any new request receives one.
func (g *group) confirmPromises(now time.Time) {
	for _, d := range g.decode {
		for len(d.promises) > 0 && d.hasPlace(d.promises[0]) {
			gr := d.promises[0]
			d.unpromise(gr)
			gr.DecodeIn = 0
			if now.After(gr.due) {
				g.keeper.metrics.promisesLate.Add(1)
			}
		}
	}
	g.movePromises(now)
}

// movePromises gives overdue promised grants a free place on another upstream.
// Only grants whose gate asks for the place are moved, as the gate must learn
// of it before it starts the transfer.
func (g *group) movePromises(now time.Time) {
	var overdue []*grant
	for _, d := range g.decode {
		for _, gr := range d.promises {
			if gr.asking > 0 && now.After(gr.due) {
				overdue = append(overdue, gr)
			}
		}
	}
	slices.SortStableFunc(overdue, func(a, b *grant) int { return a.due.Compare(b.due) })
	for _, gr := range overdue {
		if to := g.freePlace(gr, now); to != nil {
			g.move(gr, to)
		}
	}
}

// freePlace returns the decode upstream with the most free slots that can take
// a grant at once.
func (g *group) freePlace(gr *grant, now time.Time) *decodeState {
	var best *decodeState
	for _, d := range g.decode {
		if d.freeSlots() <= 0 || d.freePieces() < gr.Pieces || !d.usable(now) || d.reservedFor != nil {
			continue
		}
		if slices.Contains(gr.avoid, d.up.ID) || (gr.Suspect && d.suspects > 0) {
			continue
		}
		if best == nil || cmp.Compare(d.freeSlots(), best.freeSlots()) > 0 {
			best = d
		}
	}
	return best
}

func (g *group) move(gr *grant, to *decodeState) {
	g.byDecode[gr.Decode].give(gr)
	gr.Decode = to.up.ID
	gr.DecodeIn = 0
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
