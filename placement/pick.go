package placement

import (
	"time"

	"greengagespoke/domain"
)

// crossZonePenalty is the penalty of a transfer between availability zones,
// whose links are costly and lossy.
const crossZonePenalty = 20 * time.Millisecond

// best is the candidate with the least cost so far; an index of -1 means none.
type best struct {
	index int
	cost  time.Duration
}

func (b *best) offer(index int, cost time.Duration) {
	if b.index < 0 || cost < b.cost {
		b.index, b.cost = index, cost
	}
}

// zoneBest is the best candidates of one availability zone. Decode upstreams
// with a free place and with a promised one are kept apart, as a promise may be
// too late for the pair.
type zoneBest struct {
	prefill, free, promised best
}

// pick compares the best prefill and decode upstreams of each pair of zones, so
// that its work is linear in the upstreams and quadratic only in the zones.
func pick(s *Snapshot, r *Request, d *Decision) (Pair, bool) {
	d.collect(s, r)
	var chosen Pair
	least := best{index: -1}
	try := func(prefill, decode int) {
		if prefill < 0 || decode < 0 {
			return
		}
		pair, cost := d.pair(s, r, prefill, decode)
		if pair.DecodeIn > pair.Ready || (least.index >= 0 && cost >= least.cost) {
			return
		}
		chosen, least = pair, best{index: decode, cost: cost}
	}
	for _, from := range d.zones {
		for _, to := range d.zones {
			try(from.prefill.index, to.free.index)
			try(from.prefill.index, to.promised.index)
		}
	}
	return chosen, least.index >= 0
}

// collect finds the best candidates of each zone.
func (d *Decision) collect(s *Snapshot, r *Request) {
	for i := range s.Prefill {
		c := &d.Prefill[i]
		if c.Rejected {
			continue
		}
		up := &s.Prefill[i]
		cost := c.Delay + c.Penalty + up.LinkQueue + transferTime(r.PromptTokens, up.LinkRate)
		d.zones[up.Zone].prefill.offer(i, cost)
	}
	for i := range s.Decode {
		c := &d.Decode[i]
		if c.Rejected {
			continue
		}
		zone := &d.zones[s.Decode[i].Zone]
		if c.FreeIn == 0 {
			zone.free.offer(i, c.Penalty)
		} else {
			zone.promised.offer(i, c.FreeIn+c.Penalty)
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
