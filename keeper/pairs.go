package keeper

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/placement"
)

// pairBackoff is how long a prefill and a decode upstream are not used together
// after a grant for them failed. Transfers between the two may be stalled while
// each of them works well with others.
const pairBackoff = 5 * time.Second

// pairKey identifies a pair of a prefill and a decode upstream.
type pairKey struct {
	prefill, decode domain.UpstreamID
}

// choosePairAvoidingBackoff chooses the upstreams of a request and skips pairs
// that are backing off, unless it finds no other pair.
func (g *group) choosePairAvoidingBackoff(req *placement.Request, now time.Time) (placement.Pair, bool) {
	pair, ok := g.scheduler.Decide(&g.snap, req, &g.decision)
	if !ok || !g.backingOff(pair, now) {
		return pair, ok
	}
	avoid := req.Avoid
	for _, id := range []domain.UpstreamID{g.snap.Decode[pair.Decode].ID, g.snap.Prefill[pair.Prefill].ID} {
		req.Avoid = append(slices.Clone(avoid), id)
		if other, ok := g.scheduler.Decide(&g.snap, req, &g.decision); ok && !g.backingOff(other, now) {
			return other, true
		}
	}
	return pair, true
}

func (g *group) backingOff(pair placement.Pair, now time.Time) bool {
	key := pairKey{prefill: g.snap.Prefill[pair.Prefill].ID, decode: g.snap.Decode[pair.Decode].ID}
	return now.Before(g.pairBackoffs[key])
}

// recordFailure records a failed grant. Of its two upstreams, only the one with
// more failed grants in a row is taken out of rotation, once it has
// maxFailedGrants of them, so that one bad upstream or link does not take out
// the upstreams that it is paired with. Nothing is counted if only one of the
// two is usable.
func (g *group) recordFailure(gr *grant, now time.Time) {
	g.pairBackoffs[pairKey{prefill: gr.Prefill, decode: gr.Decode}] = now.Add(pairBackoff)
	p, d := g.findUpstream(gr.Prefill), g.findUpstream(gr.Decode)
	if p == nil || d == nil {
		return
	}
	g.requestListing(p)
	g.requestListing(d)
	pUsable, dUsable := p.usable(now), d.usable(now)
	if pUsable != dUsable {
		return
	}
	p.failedGrants++
	d.failedGrants++
	worst := max(p.failedGrants, d.failedGrants)
	if worst < maxFailedGrants {
		return
	}
	for _, u := range []*upstreamState{p, d} {
		if u.failedGrants == worst {
			u.backOff(now)
			g.keeper.metrics.takenOut.Add(1)
			klog.InfoS("upstream taken out of rotation after failed grants", "upstream", u.up.ID, "group", g.id)
		}
	}
}

// findUpstream returns the state of an upstream, or nil if the group does not
// have it.
func (g *group) findUpstream(id domain.UpstreamID) *upstreamState {
	for _, u := range g.upstreams() {
		if u.up.ID == id {
			return u
		}
	}
	return nil
}

// dropExpiredBackoffs removes the pairs whose backoff is over.
func (g *group) dropExpiredBackoffs(now time.Time) {
	for key, until := range g.pairBackoffs {
		if !now.Before(until) {
			delete(g.pairBackoffs, key)
		}
	}
}
