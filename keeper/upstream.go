package keeper

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/placement"
)

// decodeState is what the keeper knows of one decode upstream.
type decodeState struct {
	up domain.Upstream
	// slots and pieces are granted.
	slots, pieces int
	suspects      int
	// grants are the grants on the upstream.
	grants map[domain.GrantID]*grant
	// reservedFor is the waiting request that the next places are kept for.
	reservedFor *waiter
	unusable    bool
}

// prefillState is what the keeper knows of one prefill upstream.
type prefillState struct {
	up domain.Upstream
	// busyUntil is the predicted end of the granted prefill work, linkUntil that
	// of the granted transfers.
	busyUntil, linkUntil time.Time
	unusable             bool
}

func (d *decodeState) take(g *grant) {
	d.slots++
	d.pieces += g.Pieces
	if g.Suspect {
		d.suspects++
	}
	d.grants[g.ID] = g
}

func (d *decodeState) give(g *grant) {
	if d.grants[g.ID] == nil {
		return
	}
	delete(d.grants, g.ID)
	d.slots--
	d.pieces -= g.Pieces
	if g.Suspect {
		d.suspects--
	}
}

func (d *decodeState) snapshot() placement.Decode {
	return placement.Decode{
		ID:         d.up.ID,
		Zone:       d.up.Zone,
		Slots:      d.up.Slots,
		FreeSlots:  d.up.Slots - d.slots,
		Pieces:     d.up.Pieces,
		FreePieces: d.up.Pieces - d.pieces,
		LinkRate:   d.up.LinkRate,
		Suspects:   d.suspects,
		Innocents:  d.slots - d.suspects,
		Unusable:   d.unusable,
	}
}

func (p *prefillState) snapshot(now time.Time) placement.Prefill {
	return placement.Prefill{
		ID:        p.up.ID,
		Zone:      p.up.Zone,
		Rate:      float64(p.up.PrefillRate),
		Queue:     max(0, p.busyUntil.Sub(now)),
		LinkRate:  p.up.LinkRate,
		LinkQueue: max(0, p.linkUntil.Sub(now)),
		Unusable:  p.unusable,
	}
}

// plan adds the work of a granted pair to the upstream's queues.
func (p *prefillState) plan(now time.Time, pair placement.Pair) {
	start := latest(now, p.busyUntil)
	p.busyUntil = start.Add(pair.PrefillWork)
	p.linkUntil = latest(p.busyUntil, p.linkUntil).Add(pair.Transfer)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
