package placement

import "time"

// occupancyPenalty is the penalty of a full decode upstream against an empty one.
const occupancyPenalty = 50 * time.Millisecond

// occupancyScore prefers decode upstreams with few requests, as tokens take
// longer in larger batches.
type occupancyScore struct{}

func (occupancyScore) Name() string { return "occupancy" }

func (occupancyScore) Run(s *Snapshot, _ *Request, d *Decision) {
	for i := range s.Decode {
		if !d.Decode[i].Rejected {
			d.Decode[i].Penalty += time.Duration(s.Decode[i].occupancy() * float64(occupancyPenalty))
		}
	}
}

// occupancy returns the part of the slots or of the memory that is in use,
// whichever is larger. Only the larger one is divided.
func (d *Decode) occupancy() float64 {
	slots, pieces := d.Slots-d.FreeSlots, d.Pieces-d.FreePieces
	if slots*d.Pieces >= pieces*d.Slots {
		return share(slots, d.Slots)
	}
	return share(pieces, d.Pieces)
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
