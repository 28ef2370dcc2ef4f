package keeper

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
)

// promiseWaitTimeout bounds one call that waits for a promised slot.
const promiseWaitTimeout = time.Second

// addPromise marks a grant as promised: its slot is predicted to become free.
func (d *decodeState) addPromise(g *grant) {
	g.promised = true
	g.slotReady = make(chan struct{})
	d.promises = append(d.promises, g)
	d.promisedPieces += g.Pieces
}

// removePromise removes the mark, if the grant has it.
func (d *decodeState) removePromise(g *grant) {
	if !g.promised {
		return
	}
	g.promised = false
	close(g.slotReady)
	d.promises = slices.DeleteFunc(d.promises, func(p *grant) bool { return p == g })
	d.promisedPieces -= g.Pieces
}

// hasSlotFor returns whether the upstream now has a free slot and enough memory
// for a promised grant.
func (d *decodeState) hasSlotFor(g *grant) bool {
	return d.freeSlots()+len(d.promises) > 0 && d.freePieces()+d.promisedPieces >= g.Pieces
}

// confirmPromises gives free slots to promised grants before any new request
// receives one. Grants that a gate waits for, as their prefill has ended, take
// the first free slot of the group. The others wait for a slot on their own
// upstream, the oldest first.
func (g *group) confirmPromises(now time.Time) {
	for _, gr := range g.awaitedPromises() {
		if to := g.findFreeSlot(gr, now); to != nil {
			g.fulfillPromise(gr, now)
			g.moveGrant(gr, to)
		}
	}
	for _, d := range g.decode {
		for len(d.promises) > 0 && d.hasSlotFor(d.promises[0]) {
			g.fulfillPromise(d.promises[0], now)
		}
	}
}

// awaitedPromises returns the promised grants that gates wait for, in order of
// the predicted times of their slots.
func (g *group) awaitedPromises() []*grant {
	var asked []*grant
	for _, d := range g.decode {
		for _, gr := range d.promises {
			if gr.waitingCalls > 0 {
				asked = append(asked, gr)
			}
		}
	}
	slices.SortStableFunc(asked, func(a, b *grant) int { return a.slotDueAt.Compare(b.slotDueAt) })
	return asked
}

// fulfillPromise gives a promised grant its slot.
func (g *group) fulfillPromise(gr *grant, now time.Time) {
	if d, ok := g.decodeByID[gr.Decode]; ok {
		d.removePromise(gr)
	}
	gr.DecodeFreeIn = 0
	// A crash before this time did not affect the grant.
	gr.slotAssignedAt = now
	if now.After(gr.slotDueAt) {
		g.keeper.metrics.promisesLate.Add(1)
	}
}

// findFreeSlot returns the decode upstream that can take a promised grant at
// once: its own, or else the one with the most free slots. Slots that are
// promised to grants for which no gate waits yet count as free.
func (g *group) findFreeSlot(gr *grant, now time.Time) *decodeState {
	var best *decodeState
	for _, d := range g.decode {
		if !d.hasSlotFor(gr) || !d.usable(now) {
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

// moveGrant moves a confirmed grant to another decode upstream.
func (g *group) moveGrant(gr *grant, to *decodeState) {
	if gr.Decode == to.up.ID {
		return
	}
	g.decodeByID[gr.Decode].removeGrant(gr)
	gr.Decode = to.up.ID
	to.addGrant(gr)
	g.keeper.metrics.promisesMoved.Add(1)
}

// awaitSlot waits until the slot of a promised grant is free and returns the
// current grant. If the slot is not free after promiseWaitTimeout, the returned
// grant is still a promise.
func (g *group) awaitSlot(ctx context.Context, gr *grant) domain.Grant {
	timer := time.NewTimer(promiseWaitTimeout)
	defer timer.Stop()
	select {
	case <-gr.slotReady:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gr.waitingCalls--
	grant := gr.Grant
	if gr.promised {
		grant.DecodeFreeIn = max(time.Millisecond, time.Until(gr.slotDueAt))
	}
	return grant
}
