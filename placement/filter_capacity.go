package placement

import "time"

// capacityFilter rejects decode upstreams that have no place for the request,
// neither now nor by a predicted release that may be promised.
type capacityFilter struct{}

func (capacityFilter) Name() string { return "capacity" }

func (capacityFilter) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Decode {
		if d.Decode[i].Rejected {
			continue
		}
		in, ok := s.Decode[i].freeIn(r.Pieces)
		d.Decode[i].Rejected = !ok || (r.FreeOnly && in > 0)
		d.Decode[i].FreeIn = in
	}
}

// freeIn returns when a slot and the memory are predicted to be free.
func (d *Decode) freeIn(pieces int) (time.Duration, bool) {
	slots, free := d.FreeSlots, d.FreePieces
	if slots > 0 && free >= pieces {
		return 0, true
	}
	for _, f := range d.Freeing {
		slots++
		free += f.Pieces
		if slots > 0 && free >= pieces {
			return f.In, true
		}
	}
	return 0, false
}
