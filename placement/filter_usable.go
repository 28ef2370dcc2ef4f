package placement

// usableFilter rejects upstreams that are leaving, unhealthy or in an unknown
// state, and decode upstreams that are reserved for another request.
type usableFilter struct{}

func (usableFilter) Name() string { return "usable" }

func (usableFilter) Run(s *Snapshot, _ *Request, d *Decision) {
	for i := range s.Prefill {
		d.Prefill[i].Rejected = s.Prefill[i].Unusable
	}
	for i := range s.Decode {
		d.Decode[i].Rejected = s.Decode[i].Unusable || s.Decode[i].Reserved
	}
}
