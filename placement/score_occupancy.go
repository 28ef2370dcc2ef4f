package placement

import "time"

// fullOccupancyPenalty is added to the cost of a full decode upstream. An
// empty one gets no penalty.
const fullOccupancyPenalty = 50 * time.Millisecond

// occupancyScore prefers decode upstreams with few requests, as the time
// between tokens grows with the batch size.
type occupancyScore struct{}

func (occupancyScore) Name() string { return "occupancy" }

func (occupancyScore) Run(s *Snapshot, _ *Request, d *Decision) {
	for i := range s.Decode {
		if !d.Decode[i].Rejected {
			d.Decode[i].Penalty += time.Duration(s.Decode[i].occupancy() * float64(fullOccupancyPenalty))
		}
	}
}

// occupancy returns the used fraction of the slots or of the memory, whichever
// is larger. The two are compared by multiplication, so that only one division
// is needed.
func (d *Decode) occupancy() float64 {
	slots, pieces := d.Slots-d.FreeSlots, d.Pieces-d.FreePieces
	if slots*d.Pieces >= pieces*d.Slots {
		return fraction(slots, d.Slots)
	}
	return fraction(pieces, d.Pieces)
}

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
