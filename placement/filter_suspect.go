package placement

import "time"

const (
	// nonSuspectPenalty is added to the cost of a decode upstream for each
	// non-suspect request that a crash caused by the suspect request would end
	// there.
	nonSuspectPenalty = 100 * time.Millisecond
	// exposurePenalty is added to the cost of an upstream that runs a suspect
	// request, for requests that are not suspect. A crash of the upstream
	// would end them too.
	exposurePenalty = 100 * time.Millisecond
)

// suspectFilter keeps a suspect request off upstreams that run another suspect
// request, and makes it prefer the decode upstream with the fewest other
// requests. It makes other requests prefer upstreams without a suspect
// request.
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
			d.Decode[i].Penalty += time.Duration(s.Decode[i].NonSuspects) * nonSuspectPenalty
		}
	}
}
