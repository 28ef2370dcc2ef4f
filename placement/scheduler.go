package placement

// Scheduler runs the steps of a decision in order.
type Scheduler struct {
	steps []Step
}

// NewScheduler returns a Scheduler with the standard steps. If index is nil,
// no prefix is assumed to be cached.
func NewScheduler(index *PrefixIndex) *Scheduler {
	return &Scheduler{steps: []Step{
		usableFilter{},
		avoidFilter{},
		suspectFilter{},
		capacityFilter{},
		prefixScore{index: index},
		prefillScore{},
		occupancyScore{},
		zoneScore{},
	}}
}

// Steps returns the names of the steps in order.
func (s *Scheduler) Steps() []string {
	names := make([]string, len(s.steps))
	for i, step := range s.steps {
		names[i] = step.Name()
	}
	return names
}

// Decide chooses a pair of upstreams for the request, with d as working state.
// It returns false if no decode slot is free or promised in time, or if no
// prefill upstream is usable.
func (s *Scheduler) Decide(snap *Snapshot, r *Request, d *Decision) (Pair, bool) {
	d.reset(snap)
	for _, step := range s.steps {
		step.Run(snap, r, d)
	}
	return pick(snap, r, d)
}

func (d *Decision) reset(snap *Snapshot) {
	d.Prefill = resetCandidates(d.Prefill, len(snap.Prefill))
	d.Decode = resetCandidates(d.Decode, len(snap.Decode))
	d.zones = d.zones[:0]
	for range snap.Zones {
		d.zones = append(d.zones, zoneCandidates{prefill: bestCandidate{index: -1}, free: bestCandidate{index: -1}, promised: bestCandidate{index: -1}})
	}
}

func resetCandidates(c []Candidate, n int) []Candidate {
	if cap(c) < n {
		return make([]Candidate, n)
	}
	c = c[:n]
	clear(c)
	return c
}
