package keeper

import (
	"fmt"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/fairqueue"
	"greengagespoke/placement"
)

// lookAheadInterval is the time between dispatches while requests wait and the
// policy promises predicted releases.
const lookAheadInterval = 20 * time.Millisecond

// dispatch confirms promised places and grants the others to waiting requests in
// fair order until none fits.
func (g *group) dispatch(now time.Time) {
	if g.closed {
		return
	}
	g.confirmPromises(now)
	if g.queue.Len() == 0 {
		return
	}
	g.snapshot(now)
	for g.hasRoom() {
		served := g.queue.Serve(func(e *fairqueue.Entry[*waiter]) fairqueue.Verdict { return g.try(e, now) })
		if !g.finishRefused() && served == nil {
			break
		}
	}
	g.scheduleLookAhead()
}

// scheduleLookAhead dispatches again in a moment where time alone may make a
// promise possible.
func (g *group) scheduleLookAhead() {
	if g.queue.Len() == 0 || !g.keeper.cfg.Policy.LooksAhead() {
		return
	}
	if g.lookAhead == nil {
		g.lookAhead = time.AfterFunc(lookAheadInterval, g.lookAgain)
		return
	}
	g.lookAhead.Reset(lookAheadInterval)
}

func (g *group) lookAgain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// refused is a waiting request with the refusal that it is to receive.
type refused struct {
	waiter  *waiter
	refusal *domain.Refusal
}

// finishRefused refuses the requests that were found not to run and returns
// whether there were any. They leave the queue only here, as it does not change
// while it serves.
func (g *group) finishRefused() bool {
	found := len(g.refused) > 0
	for _, r := range g.refused {
		if r.waiter.entry.Waiting() {
			g.finish(r.waiter, domain.Grant{}, r.refusal)
		}
	}
	g.refused = g.refused[:0]
	return found
}

// snapshot takes the state for placement decisions.
func (g *group) snapshot(now time.Time) {
	g.snap.CrossZone = crossZoneDelay
	g.snap.Prefill = g.snap.Prefill[:0]
	for _, p := range g.prefill {
		g.snap.Prefill = append(g.snap.Prefill, p.snapshot(now))
	}
	g.snap.Decode = g.snap.Decode[:0]
	for _, d := range g.decode {
		state := d.snapshot(now)
		state.Freeing = g.freeing(d, now)
		g.snap.Decode = append(g.snap.Decode, state)
	}
}

// freeing returns the releases of a full decode upstream that may be promised.
func (g *group) freeing(d *decodeState, now time.Time) []placement.Freeing {
	policy := g.keeper.cfg.Policy
	if !policy.LooksAhead() || d.freeSlots() > 0 || g.promisesLeft(now) <= 0 {
		return nil
	}
	g.ends = g.ends[:0]
	for _, gr := range d.grants {
		if !gr.promised {
			g.ends = append(g.ends, PredictedEnd{In: g.remaining(gr, now), Pieces: gr.Pieces})
		}
	}
	return policy.Freeing(g.ends, nil)
}

// hasRoom returns whether any decode upstream could take a request.
func (g *group) hasRoom() bool {
	for i := range g.snap.Decode {
		d := &g.snap.Decode[i]
		if !d.Unusable && (d.FreeSlots > 0 || len(d.Freeing) > 0) {
			return true
		}
	}
	return false
}

// try grants a place to a waiting request where one fits.
func (g *group) try(e *fairqueue.Entry[*waiter], now time.Time) fairqueue.Verdict {
	w := e.Value
	if w.calls == 0 || w.blockers > 0 {
		return fairqueue.NotReady
	}
	if refusal := g.refreshSuspicion(w); refusal != nil {
		g.refused = append(g.refused, refused{w, refusal})
		return fairqueue.NotReady
	}
	if g.mustWait(w) {
		return fairqueue.NotReady
	}
	left, bounded := w.left(now)
	pair, ok := g.decide(w, now, false)
	if ok && bounded && pair.DecodeIn > 0 && pair.FirstToken+promiseDoubt*pair.DecodeIn > left {
		pair, ok = g.decide(w, now, true)
	}
	if !ok {
		g.reserve(w)
		return noRoom(w)
	}
	if bounded && pair.FirstToken > left {
		g.keeper.metrics.late.Add(1)
		g.refused = append(g.refused, refused{w, refuseLate(pair.FirstToken - left)})
		return fairqueue.NotReady
	}
	g.grant(w, pair, now)
	return fairqueue.Accept
}

// noRoom returns the verdict on a request that fits nowhere. One that only some
// upstreams may run does not hold up the others of its caller.
func noRoom(w *waiter) fairqueue.Verdict {
	if w.req.Suspect || len(w.req.Avoid) > 0 {
		return fairqueue.NotReady
	}
	return fairqueue.NoRoom
}

// decide chooses the upstreams of a waiting request, with freeOnly only such
// whose decode place is free now.
func (g *group) decide(w *waiter, now time.Time, freeOnly bool) (placement.Pair, bool) {
	for i, d := range g.decode {
		g.snap.Decode[i].Reserved = d.reservedFor != nil && d.reservedFor != w
	}
	req := g.placementRequest(&w.req)
	req.FreeOnly = freeOnly
	if w.req.Suspect {
		req.Avoid = g.avoidCrashed(&w.req)
	}
	return g.decideApart(req, now)
}

func (g *group) placementRequest(req *domain.PlaceRequest) *placement.Request {
	return &placement.Request{
		Zone:         g.snap.Zone(req.HolderZone),
		PromptTokens: req.PromptTokens,
		Pieces:       req.Pieces(),
		Keys:         req.PieceKeys,
		Avoid:        req.Avoid,
		Suspect:      req.Suspect,
	}
}

// reserve keeps the next places of one decode upstream for a request that was
// passed over too often, so that smaller requests cannot starve it.
func (g *group) reserve(w *waiter) {
	if w.entry.Passed() < passedBound {
		return
	}
	avoid := g.avoidCrashed(&w.req)
	var best *decodeState
	for i, d := range g.decode {
		if d.reservedFor == w {
			return
		}
		if d.reservedFor != nil || g.snap.Decode[i].Unusable || !mayHold(d, w, avoid) {
			continue
		}
		if best == nil || d.up.Pieces-d.pieces > best.up.Pieces-best.pieces {
			best = d
		}
	}
	if best != nil {
		best.reservedFor = w
	}
}

// mayHold returns whether an upstream could run a request once its memory is
// free. A suspect waits for the end of another suspect elsewhere, as nothing else
// may use a reserved upstream meanwhile.
func mayHold(d *decodeState, w *waiter, avoid []domain.UpstreamID) bool {
	if w.req.Suspect && d.suspects > 0 {
		return false
	}
	return d.up.Pieces >= w.req.Pieces() && !slices.Contains(avoid, d.up.ID)
}

// grant gives a waiting request its place.
func (g *group) grant(w *waiter, pair placement.Pair, now time.Time) {
	d, p := g.decode[pair.Decode], g.prefill[pair.Prefill]
	gr := &grant{
		Grant: domain.Grant{
			ID:             g.keeper.nextGrant(),
			Request:        w.req.ID,
			Holder:         w.req.Holder,
			Pool:           w.req.Pool,
			Decode:         d.up.ID,
			Prefill:        p.up.ID,
			Pieces:         w.req.Pieces(),
			CachedTokens:   pair.CachedTokens,
			ExpectedTokens: g.route(w.req.Route).expected(w.req.OutputTokens),
			Term:           grantTerm,
			DecodeIn:       pair.DecodeIn,
			Suspect:        w.req.Suspect,
			Fingerprint:    w.req.Fingerprint,
		},
		route:    w.req.Route,
		class:    w.req.Class,
		weight:   w.req.Weight,
		cost:     w.entry.Cost,
		limit:    w.req.OutputTokens,
		granted:  now,
		placed:   now,
		expires:  now.Add(grantTerm),
		decoding: now.Add(pair.FirstToken),
		avoid:    g.avoidCrashed(&w.req),
	}
	d.take(gr)
	g.countSuspect(gr, 1)
	if pair.DecodeIn > 0 {
		gr.due = now.Add(pair.DecodeIn)
		g.promise(d, gr, now)
	}
	p.plan(now, pair, w.req.Suspect)
	g.index.Expect(p.position, w.req.PieceKeys)
	g.snap.Decode[pair.Decode] = d.snapshot(now)
	g.snap.Decode[pair.Decode].Freeing = g.freeing(d, now)
	g.snap.Prefill[pair.Prefill] = p.snapshot(now)
	g.grants[gr.ID] = gr
	g.requests[w.req.ID.Key()] = &request{grant: gr}
	g.keeper.metrics.grants.Add(1)
	g.keeper.metrics.held.Add(1)
	g.keeper.metrics.waiting.Add(-1)
	g.settle(w, gr.Grant)
}

// settle gives a waiter its grant. The queue removes the entry itself, as it is
// being served.
func (g *group) settle(w *waiter, grant domain.Grant) {
	for _, d := range g.decode {
		if d.reservedFor == w {
			d.reservedFor = nil
		}
	}
	w.grant = grant
	close(w.done)
}

func (k *Keeper) nextGrant() domain.GrantID {
	return domain.GrantID(fmt.Sprintf("%s/%x/%x", k.cfg.Self, k.epoch, k.sequence.Add(1)))
}
