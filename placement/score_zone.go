package placement

// zoneScore adds the round-trip delay between the host that holds the request
// and an upstream in another availability zone.
type zoneScore struct{}

func (zoneScore) Name() string { return "zone" }

func (zoneScore) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Decode {
		if s.Decode[i].Zone != r.Zone {
			d.Decode[i].Penalty += 2 * s.CrossZoneDelay
		}
	}
	for i := range s.Prefill {
		if s.Prefill[i].Zone != r.Zone {
			d.Prefill[i].Penalty += 2 * s.CrossZoneDelay
		}
	}
}
