package placement

import (
	"time"

	"greengagespoke/domain"
)

// crossZonePenalty is the penalty of a transfer between availability zones,
// whose links are costly and lossy.
const crossZonePenalty = 20 * time.Millisecond

// zoneBest is the best candidate of each role in one availability zone.
type zoneBest struct {
	prefill, decode         int
	prefillCost, decodeCost time.Duration
}

// pick compares the best prefill and decode upstreams of each pair of zones, so
// that its work is linear in the upstreams and quadratic only in the zones.
func pick(s *Snapshot, r *Request, d *Decision) (Pair, bool) {
	d.collect(s, r)
	var best Pair
	var bestCost time.Duration
	found := false
	for _, from := range d.zones {
		if from.prefill < 0 {
			continue
		}
		for _, to := range d.zones {
			if to.decode < 0 {
				continue
			}
			pair, cost := d.pair(s, r, from.prefill, to.decode)
			if pair.DecodeIn > pair.Ready {
				continue
			}
			if !found || cost < bestCost {
				best, bestCost, found = pair, cost, true
			}
		}
	}
	return best, found
}

// collect finds the best candidates of each zone.
func (d *Decision) collect(s *Snapshot, r *Request) {
	for i := range s.Prefill {
		c := &d.Prefill[i]
		if c.Rejected {
			continue
		}
		up := &s.Prefill[i]
		z := &d.zones[up.Zone]
		cost := c.Delay + c.Penalty + up.LinkQueue + transferTime(r.PromptTokens, up.LinkRate)
		if z.prefill < 0 || cost < z.prefillCost {
			z.prefill, z.prefillCost = i, cost
		}
	}
	for i := range s.Decode {
		c := &d.Decode[i]
		if c.Rejected {
			continue
		}
		z := &d.zones[s.Decode[i].Zone]
		cost := c.FreeIn + c.Penalty
		if z.decode < 0 || cost < z.decodeCost {
			z.decode, z.decodeCost = i, cost
		}
	}
}

// pair predicts the course of a request on two upstreams.
func (d *Decision) pair(s *Snapshot, r *Request, prefill, decode int) (Pair, time.Duration) {
	from, to := &s.Prefill[prefill], &s.Decode[decode]
	pc, dc := &d.Prefill[prefill], &d.Decode[decode]
	p := Pair{Prefill: prefill, Decode: decode, CachedTokens: pc.CachedTokens, DecodeIn: dc.FreeIn}
	p.PrefillWork = from.work(r.PromptTokens - pc.CachedTokens)
	p.Transfer = transferTime(r.PromptTokens, slower(from.LinkRate, to.LinkRate))
	penalty := pc.Penalty + dc.Penalty
	if from.Zone != to.Zone {
		p.Transfer += s.CrossZone
		penalty += crossZonePenalty
	}
	p.Ready = max(pc.Delay, from.LinkQueue) + p.Transfer
	p.FirstToken = max(p.Ready, p.DecodeIn)
	return p, p.FirstToken + penalty
}

// transferTime returns the time to move the KV cache of a prompt over a link.
func transferTime(tokens int, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	bytes := float64(tokens) * domain.KVBytesPerToken
	return time.Duration(bytes / float64(rate) * float64(time.Second))
}

// slower returns the smaller of two rates, of which zero means not known.
func slower(a, b int64) int64 {
	if a <= 0 {
		return b
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}
