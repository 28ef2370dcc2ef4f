package placement

import "time"

// prefillScore adds the predicted end of the prefill: the queue and the time to
// compute the part of the prompt that is not cached.
type prefillScore struct{}

func (prefillScore) Name() string { return "prefill" }

func (prefillScore) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Prefill {
		if d.Prefill[i].Rejected {
			continue
		}
		p := &s.Prefill[i]
		d.Prefill[i].Delay += p.Queue + p.work(r.PromptTokens-d.Prefill[i].CachedTokens)
	}
}

// work returns the time to compute the given number of prompt tokens.
func (p *Prefill) work(tokens int) time.Duration {
	if p.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.Rate * float64(time.Second))
}
