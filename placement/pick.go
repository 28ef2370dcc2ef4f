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
	zone            domain.Zone
	prefill, decode int
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
		if d.Prefill[i].Rejected {
			continue
		}
		z := d.zone(s.Prefill[i].Zone)
		if z.prefill < 0 || d.prefillCost(s, r, i) < d.prefillCost(s, r, z.prefill) {
			z.prefill = i
		}
	}
	for i := range s.Decode {
		if d.Decode[i].Rejected {
			continue
		}
		z := d.zone(s.Decode[i].Zone)
		if z.decode < 0 || d.decodeCost(i) < d.decodeCost(z.decode) {
			z.decode = i
		}
	}
}

func (d *Decision) zone(zone domain.Zone) *zoneBest {
	for i := range d.zones {
		if d.zones[i].zone == zone {
			return &d.zones[i]
		}
	}
	d.zones = append(d.zones, zoneBest{zone: zone, prefill: -1, decode: -1})
	return &d.zones[len(d.zones)-1]
}

func (d *Decision) prefillCost(s *Snapshot, r *Request, i int) time.Duration {
	c := &d.Prefill[i]
	return c.Delay + c.Penalty + s.Prefill[i].LinkQueue + transferTime(r.PromptTokens, s.Prefill[i].LinkRate)
}

func (d *Decision) decodeCost(i int) time.Duration {
	c := &d.Decode[i]
	return c.FreeIn + c.Penalty
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
