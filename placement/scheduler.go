package placement

// Scheduler runs the steps of a decision in order.
type Scheduler struct {
	steps []Step
}

// NewScheduler returns a scheduler with the standard steps. The index may be
// nil, which means that no prefix is known to be cached.
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

// Decide chooses a pair for the request. It returns false where no decode place
// is free or promised in time, or where no prefill upstream is usable.
func (s *Scheduler) Decide(snap *Snapshot, r *Request, d *Decision) (Pair, bool) {
	d.reset(snap)
	for _, step := range s.steps {
		step.Run(snap, r, d)
	}
	return pick(snap, r, d)
}

func (d *Decision) reset(snap *Snapshot) {
	d.Prefill = cleared(d.Prefill, len(snap.Prefill))
	d.Decode = cleared(d.Decode, len(snap.Decode))
	d.zones = d.zones[:0]
	for range snap.Zones {
		d.zones = append(d.zones, zoneBest{prefill: best{index: -1}, free: best{index: -1}, promised: best{index: -1}})
	}
}

func cleared(c []Candidate, n int) []Candidate {
	if cap(c) < n {
		return make([]Candidate, n)
	}
	c = c[:n]
	clear(c)
	return c
}
