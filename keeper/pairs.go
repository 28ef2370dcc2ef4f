package keeper

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/placement"
)

// pairRestTime is how long a prefill and a decode upstream are not used together
// after a grant for them failed. Transfers between them may be stalled while both
// work well with others.
const pairRestTime = 5 * time.Second

// pairKey names a prefill and a decode upstream.
type pairKey struct {
	prefill, decode domain.UpstreamID
}

// decideApart chooses the upstreams of a request and leaves out pairs that rest,
// unless there is no other pair.
func (g *group) decideApart(req *placement.Request, now time.Time) (placement.Pair, bool) {
	pair, ok := g.scheduler.Decide(&g.snap, req, &g.decision)
	if !ok || !g.rests(pair, now) {
		return pair, ok
	}
	avoid := req.Avoid
	for _, id := range []domain.UpstreamID{g.snap.Decode[pair.Decode].ID, g.snap.Prefill[pair.Prefill].ID} {
		req.Avoid = append(slices.Clone(avoid), id)
		if other, ok := g.scheduler.Decide(&g.snap, req, &g.decision); ok && !g.rests(other, now) {
			return other, true
		}
	}
	return pair, true
}

func (g *group) rests(pair placement.Pair, now time.Time) bool {
	key := pairKey{prefill: g.snap.Prefill[pair.Prefill].ID, decode: g.snap.Decode[pair.Decode].ID}
	return now.Before(g.pairRests[key])
}

// judgeFailure notes a failed grant. Of the two upstreams the one that failed
// more often in a row is taken out, so that one bad upstream or link does not
// take its partners with it.
func (g *group) judgeFailure(gr *grant, now time.Time) {
	g.pairRests[pairKey{prefill: gr.Prefill, decode: gr.Decode}] = now.Add(pairRestTime)
	p, d := g.state(gr.Prefill), g.state(gr.Decode)
	if p == nil || d == nil {
		return
	}
	g.list(p)
	g.list(d)
	pUsable, dUsable := p.usable(now), d.usable(now)
	if pUsable != dUsable {
		return
	}
	p.failedGrants++
	d.failedGrants++
	worst := max(p.failedGrants, d.failedGrants)
	if worst < failedGrantBound {
		return
	}
	for _, u := range []*upstreamState{p, d} {
		if u.failedGrants == worst {
			u.rest(now)
			g.keeper.metrics.tookOut.Add(1)
			klog.InfoS("upstream rests after failed grants", "upstream", u.up.ID, "group", g.id)
		}
	}
}

// state returns what is known of an upstream, or nil.
func (g *group) state(id domain.UpstreamID) *upstreamState {
	for _, u := range g.upstreams() {
		if u.up.ID == id {
			return u
		}
	}
	return nil
}

// forgetPairs drops pairs that no longer rest.
func (g *group) forgetPairs(now time.Time) {
	for key, until := range g.pairRests {
		if !now.Before(until) {
			delete(g.pairRests, key)
		}
	}
}
