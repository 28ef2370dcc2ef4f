package placement

import "time"

const (
	// innocentPenalty is added to a decode upstream for each other request that a
	// suspect would put at risk there.
	innocentPenalty = 100 * time.Millisecond
	// exposurePenalty is added to an upstream that runs a suspect, for requests
	// that are not suspect.
	exposurePenalty = 100 * time.Millisecond
)

// suspectFilter keeps suspects off upstreams that run another suspect, makes a
// suspect prefer the upstream with the fewest other requests, and makes the
// others prefer upstreams without a suspect.
type suspectFilter struct{}

func (suspectFilter) Name() string { return "suspect" }

func (suspectFilter) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Prefill {
		if s.Prefill[i].Suspect {
			d.Prefill[i].Rejected = d.Prefill[i].Rejected || r.Suspect
			d.Prefill[i].Penalty += exposurePenalty
		}
	}
	for i := range s.Decode {
		if s.Decode[i].Suspects > 0 {
			d.Decode[i].Rejected = d.Decode[i].Rejected || r.Suspect
			d.Decode[i].Penalty += exposurePenalty
		}
		if r.Suspect {
			d.Decode[i].Penalty += time.Duration(s.Decode[i].Innocents) * innocentPenalty
		}
	}
}
