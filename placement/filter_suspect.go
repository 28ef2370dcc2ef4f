package placement

import "time"

// innocentPenalty is added to a decode upstream for each other request that a
// suspect would put at risk there.
const innocentPenalty = 100 * time.Millisecond

// suspectFilter keeps suspects off upstreams that run another suspect, and
// makes a suspect prefer the upstream with the fewest other requests.
type suspectFilter struct{}

func (suspectFilter) Name() string { return "suspect" }

func (suspectFilter) Run(s *Snapshot, r *Request, d *Decision) {
	if !r.Suspect {
		return
	}
	for i := range s.Decode {
		if s.Decode[i].Suspects > 0 {
			d.Decode[i].Rejected = true
		}
		d.Decode[i].Penalty += time.Duration(s.Decode[i].Innocents) * innocentPenalty
	}
}
