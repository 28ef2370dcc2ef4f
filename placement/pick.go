package placement

import (
	"time"

	"greengagespoke/domain"
)

// crossZonePenalty is added to the cost of a transfer between availability
// zones, as their links are expensive and lossy.
const crossZonePenalty = 20 * time.Millisecond

// bestCandidate is the candidate with the lowest cost so far. An index of -1
// means that there is none.
type bestCandidate struct {
	index int
	cost  time.Duration
}

func (b *bestCandidate) consider(index int, cost time.Duration) {
	if b.index < 0 || cost < b.cost {
		b.index, b.cost = index, cost
	}
}

// zoneCandidates holds the best candidates of one availability zone. Decode
// upstreams with a free slot and with a promised slot are kept separately, as
// a promised slot may be free too late for the pair.
type zoneCandidates struct {
	prefill, free, promised bestCandidate
}

// pick compares the best prefill and decode upstreams of each pair of
// availability zones. This makes it linear in the number of upstreams and
// quadratic only in the number of zones.
func pick(s *Snapshot, r *Request, d *Decision) (Pair, bool) {
	d.collectBest(s, r)
	var chosen Pair
	lowest := bestCandidate{index: -1}
	tryPair := func(prefill, decode int) {
		if prefill < 0 || decode < 0 {
			return
		}
		pair, cost := d.predictPair(s, r, prefill, decode)
		if pair.DecodeFreeIn > pair.TransferEnd || (lowest.index >= 0 && cost >= lowest.cost) {
			return
		}
		chosen, lowest = pair, bestCandidate{index: decode, cost: cost}
	}
	for _, from := range d.zones {
		for _, to := range d.zones {
			tryPair(from.prefill.index, to.free.index)
			tryPair(from.prefill.index, to.promised.index)
		}
	}
	return chosen, lowest.index >= 0
}

// collectBest finds the best candidates of each availability zone.
func (d *Decision) collectBest(s *Snapshot, r *Request) {
	for i := range s.Prefill {
		c := &d.Prefill[i]
		if c.Rejected {
			continue
		}
		up := &s.Prefill[i]
		cost := c.Delay + c.Penalty + up.LinkQueueDelay + transferTime(r.PromptTokens, up.LinkRate)
		d.zones[up.Zone].prefill.consider(i, cost)
	}
	for i := range s.Decode {
		c := &d.Decode[i]
		if c.Rejected {
			continue
		}
		zone := &d.zones[s.Decode[i].Zone]
		if c.FreeIn == 0 {
			zone.free.consider(i, c.Penalty)
		} else {
			zone.promised.consider(i, c.FreeIn+c.Penalty)
		}
	}
}

// predictPair predicts the timing of a request on two upstreams. It returns
// the pair and its cost, which is the time to first token plus penalties.
func (d *Decision) predictPair(s *Snapshot, r *Request, prefill, decode int) (Pair, time.Duration) {
	from, to := &s.Prefill[prefill], &s.Decode[decode]
	pc, dc := &d.Prefill[prefill], &d.Decode[decode]
	p := Pair{Prefill: prefill, Decode: decode, CachedTokens: pc.CachedTokens, DecodeFreeIn: dc.FreeIn}
	p.PrefillDuration = from.prefillTime(r.PromptTokens - pc.CachedTokens)
	p.Transfer = transferTime(r.PromptTokens, minKnownRate(from.LinkRate, to.LinkRate))
	penalty := pc.Penalty + dc.Penalty
	if from.Zone != to.Zone {
		p.Transfer += s.CrossZoneDelay
		penalty += crossZonePenalty
	}
	p.TransferEnd = max(pc.Delay, from.LinkQueueDelay) + p.Transfer
	p.FirstToken = max(p.TransferEnd, p.DecodeFreeIn)
	return p, p.FirstToken + penalty
}

// transferTime returns the time to transfer the KV cache of a prompt over a
// link with the given rate in bytes per second. It returns zero if the rate is
// not known.
func transferTime(tokens int, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	bytes := float64(tokens) * domain.KVBytesPerToken
	return time.Duration(bytes / float64(rate) * float64(time.Second))
}

// minKnownRate returns the lower of two rates, of which zero means not known.
func minKnownRate(a, b int64) int64 {
	if a <= 0 {
		return b
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}
