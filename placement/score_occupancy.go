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
		up := &s.Decode[i]
		used := max(share(up.Slots-up.FreeSlots, up.Slots), share(up.Pieces-up.FreePieces, up.Pieces))
		d.Decode[i].Penalty += time.Duration(used * float64(occupancyPenalty))
	}
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
