package placement

import "slices"

// avoidFilter rejects upstreams on which an earlier attempt of the request
// failed.
type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Run(s *Snapshot, r *Request, d *Decision) {
	if len(r.Avoid) == 0 {
		return
	}
	for i := range s.Prefill {
		if slices.Contains(r.Avoid, s.Prefill[i].ID) {
			d.Prefill[i].Rejected = true
		}
	}
	for i := range s.Decode {
		if slices.Contains(r.Avoid, s.Decode[i].ID) {
			d.Decode[i].Rejected = true
		}
	}
}
