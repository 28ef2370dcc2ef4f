package placement

import "time"

// capacityFilter rejects decode upstreams that have no capacity for the
// request, either now or after a predicted release that may be promised.
type capacityFilter struct{}

func (capacityFilter) Name() string { return "capacity" }

func (capacityFilter) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Decode {
		if d.Decode[i].Rejected {
			continue
		}
		wait, ok := s.Decode[i].timeUntilFree(r.Pieces)
		d.Decode[i].Rejected = !ok || (r.RequireFreeSlot && wait > 0)
		d.Decode[i].FreeIn = wait
	}
}

// timeUntilFree returns the predicted time until a slot and the given number
// of pieces are free. It returns false if no listed release makes them free.
func (d *Decode) timeUntilFree(pieces int) (time.Duration, bool) {
	freeSlots, freePieces := d.FreeSlots, d.FreePieces
	if freeSlots > 0 && freePieces >= pieces {
		return 0, true
	}
	for _, f := range d.PredictedReleases {
		freeSlots++
		freePieces += f.Pieces
		if freeSlots > 0 && freePieces >= pieces {
			return f.In, true
		}
	}
	return 0, false
}
