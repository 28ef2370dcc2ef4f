package placement

import "time"

// prefillScore adds the predicted duration of the prefill: the queue of the
// upstream and the time to compute the uncached part of the prompt.
type prefillScore struct{}

func (prefillScore) Name() string { return "prefill" }

func (prefillScore) Run(s *Snapshot, r *Request, d *Decision) {
	for i := range s.Prefill {
		if d.Prefill[i].Rejected {
			continue
		}
		p := &s.Prefill[i]
		d.Prefill[i].Delay += p.QueueDelay + p.prefillTime(r.PromptTokens-d.Prefill[i].CachedTokens)
	}
}

// prefillTime returns the time to compute the given number of prompt tokens.
func (p *Prefill) prefillTime(tokens int) time.Duration {
	if p.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.Rate * float64(time.Second))
}
