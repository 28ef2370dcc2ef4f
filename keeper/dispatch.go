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

// dispatch gives free slots to promised grants first, and grants the remaining
// slots to waiting requests in fair order until none fits.
func (g *group) dispatch(now time.Time) {
	if g.closed {
		return
	}
	g.confirmPromises(now)
	if g.queue.Len() == 0 {
		return
	}
	g.updateSnapshot(now)
	for g.hasGrantableSlot() {
		served := g.queue.Serve(func(e *fairqueue.Entry[*waiter]) fairqueue.Verdict { return g.tryGrant(e, now) })
		if !g.applyPendingRefusals() && served == nil {
			break
		}
	}
	g.scheduleLookAhead()
}

// scheduleLookAhead schedules another dispatch if requests wait, as the passing
// of time alone may bring a predicted release close enough to be promised.
func (g *group) scheduleLookAhead() {
	if g.queue.Len() == 0 || !g.keeper.cfg.Policy.LooksAhead() {
		return
	}
	if g.lookAheadTimer == nil {
		g.lookAheadTimer = time.AfterFunc(lookAheadInterval, g.runLookAhead)
		return
	}
	g.lookAheadTimer.Reset(lookAheadInterval)
}

func (g *group) runLookAhead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// pendingRefusal is a waiting request with the refusal that it is to receive.
type pendingRefusal struct {
	waiter  *waiter
	refusal *domain.Refusal
}

// applyPendingRefusals refuses the requests in pendingRefusals and returns
// whether there were any. Refused requests leave the queue only here, as the
// queue must not change while it is being served.
func (g *group) applyPendingRefusals() bool {
	found := len(g.pendingRefusals) > 0
	for _, r := range g.pendingRefusals {
		if r.waiter.entry.Waiting() {
			g.resolve(r.waiter, domain.Grant{}, r.refusal)
		}
	}
	g.pendingRefusals = g.pendingRefusals[:0]
	return found
}

// updateSnapshot copies the state of all upstreams for placement decisions.
func (g *group) updateSnapshot(now time.Time) {
	g.snap.CrossZoneDelay = crossZoneDelay
	g.snap.Prefill = g.snap.Prefill[:0]
	for _, p := range g.prefill {
		g.snap.Prefill = append(g.snap.Prefill, p.snapshot(now))
	}
	g.snap.Decode = g.snap.Decode[:0]
	for _, d := range g.decode {
		state := d.snapshot(now)
		state.PredictedReleases = g.promisableReleases(d, now)
		g.snap.Decode = append(g.snap.Decode, state)
	}
}

// promisableReleases returns the predicted releases of a full decode upstream
// that may be promised.
func (g *group) promisableReleases(d *decodeState, now time.Time) []placement.PredictedRelease {
	policy := g.keeper.cfg.Policy
	if !policy.LooksAhead() || d.freeSlots() > 0 || g.promisesLeft(now) <= 0 {
		return nil
	}
	g.predictedEnds = g.predictedEnds[:0]
	for _, gr := range d.grants {
		if !gr.promised {
			g.predictedEnds = append(g.predictedEnds, PredictedEnd{In: g.remainingTime(gr, now), Pieces: gr.Pieces})
		}
	}
	return policy.PromisableReleases(g.predictedEnds, nil)
}

// hasGrantableSlot returns whether any usable decode upstream has a free slot or
// a release that may be promised.
func (g *group) hasGrantableSlot() bool {
	for i := range g.snap.Decode {
		d := &g.snap.Decode[i]
		if !d.Unusable && (d.FreeSlots > 0 || len(d.PredictedReleases) > 0) {
			return true
		}
	}
	return false
}

// tryGrant grants a slot to a waiting request if one fits.
func (g *group) tryGrant(e *fairqueue.Entry[*waiter], now time.Time) fairqueue.Verdict {
	w := e.Value
	if w.activeCalls == 0 || w.blockingAttempts > 0 {
		return fairqueue.NotReady
	}
	if refusal := g.refreshSuspicion(w); refusal != nil {
		g.pendingRefusals = append(g.pendingRefusals, pendingRefusal{w, refusal})
		return fairqueue.NotReady
	}
	if g.blockedByCrash(w) {
		return fairqueue.NotReady
	}
	left, bounded := w.firstTokenTimeLeft(now)
	pair, ok := g.choosePair(w, now, false)
	if ok && bounded && pair.DecodeFreeIn > 0 && pair.FirstToken+promiseDelayFactor*pair.DecodeFreeIn > left {
		pair, ok = g.choosePair(w, now, true)
	}
	if !ok {
		g.reserveDecode(w)
		return unplacedVerdict(w)
	}
	if bounded && pair.FirstToken > left {
		g.keeper.metrics.refusedLate.Add(1)
		g.pendingRefusals = append(g.pendingRefusals, pendingRefusal{w, refuseLate(pair.FirstToken - left)})
		return fairqueue.NotReady
	}
	g.grant(w, pair, now)
	return fairqueue.Accept
}

// unplacedVerdict returns the verdict on a request that does not fit on any
// upstream. A request that may run on some upstreams only does not block the
// other requests of its caller.
func unplacedVerdict(w *waiter) fairqueue.Verdict {
	if w.req.Suspect || len(w.req.Avoid) > 0 {
		return fairqueue.NotReady
	}
	return fairqueue.NoRoom
}

// choosePair chooses the upstreams of a waiting request. With freeOnly set, it
// considers only decode upstreams that have a free slot now.
func (g *group) choosePair(w *waiter, now time.Time, freeOnly bool) (placement.Pair, bool) {
	for i, d := range g.decode {
		g.snap.Decode[i].Reserved = d.reservedFor != nil && d.reservedFor != w
	}
	req := g.placementRequest(&w.req)
	req.RequireFreeSlot = freeOnly
	if w.req.Suspect {
		req.Avoid = g.avoidedUpstreams(&w.req)
	}
	return g.choosePairAvoidingBackoff(req, now)
}

func (g *group) placementRequest(req *domain.SlotRequest) *placement.Request {
	return &placement.Request{
		Zone:         g.snap.Zone(req.HolderZone),
		PromptTokens: req.PromptTokens,
		Pieces:       req.Pieces(),
		Keys:         req.PieceKeys,
		Avoid:        req.Avoid,
		Suspect:      req.Suspect,
	}
}

// reserveDecode reserves the next free slots of one decode upstream for a
// request that was passed over too often, so that smaller requests cannot starve
// it.
func (g *group) reserveDecode(w *waiter) {
	if w.entry.Passed() < maxPassedOver {
		return
	}
	avoid := g.avoidedUpstreams(&w.req)
	var best *decodeState
	for i, d := range g.decode {
		if d.reservedFor == w {
			return
		}
		if d.reservedFor != nil || g.snap.Decode[i].Unusable || !couldRun(d, w, avoid) {
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

// couldRun returns whether an upstream could run a request once its memory is
// free. A suspect request does not reserve an upstream that runs another
// suspect: nothing else could use that upstream until the other suspect ends.
func couldRun(d *decodeState, w *waiter, avoid []domain.UpstreamID) bool {
	if w.req.Suspect && d.suspectGrants > 0 {
		return false
	}
	return d.up.Pieces >= w.req.Pieces() && !slices.Contains(avoid, d.up.ID)
}

// grant gives a waiting request a slot on the chosen upstreams.
func (g *group) grant(w *waiter, pair placement.Pair, now time.Time) {
	d, p := g.decode[pair.Decode], g.prefill[pair.Prefill]
	gr := &grant{
		Grant: domain.Grant{
			ID:             g.keeper.nextGrantID(),
			Request:        w.req.ID,
			Holder:         w.req.Holder,
			Pool:           w.req.Pool,
			Decode:         d.up.ID,
			Prefill:        p.up.ID,
			Pieces:         w.req.Pieces(),
			CachedTokens:   pair.CachedTokens,
			ExpectedTokens: g.lengthEstimator(w.req.Route).expectedTokens(w.req.OutputTokens),
			TTL:            grantTerm,
			DecodeFreeIn:   pair.DecodeFreeIn,
			Suspect:        w.req.Suspect,
			Fingerprint:    w.req.Fingerprint,
		},
		route:           w.req.Route,
		class:           w.req.Class,
		weight:          w.req.Weight,
		cost:            w.entry.Cost,
		maxOutputTokens: w.req.OutputTokens,
		grantedAt:       now,
		slotAssignedAt:  now,
		expiresAt:       now.Add(grantTerm),
		decodeStart:     now.Add(pair.FirstToken),
		avoid:           g.avoidedUpstreams(&w.req),
	}
	d.addGrant(gr)
	g.addSuspectGrants(gr, 1)
	if pair.DecodeFreeIn > 0 {
		gr.slotDueAt = now.Add(pair.DecodeFreeIn)
		g.promiseSlot(d, gr, now)
	}
	p.addWork(now, pair, w.req.Suspect)
	g.prefixIndex.Expect(p.position, w.req.PieceKeys)
	g.snap.Decode[pair.Decode] = d.snapshot(now)
	g.snap.Decode[pair.Decode].PredictedReleases = g.promisableReleases(d, now)
	g.snap.Prefill[pair.Prefill] = p.snapshot(now)
	g.grants[gr.ID] = gr
	g.requests[w.req.ID.Key()] = &request{grant: gr}
	g.keeper.metrics.grants.Add(1)
	g.keeper.metrics.heldGrants.Add(1)
	g.keeper.metrics.waiting.Add(-1)
	g.resolveGranted(w, gr.Grant)
}

// resolveGranted gives a waiter its grant. It does not remove the entry from the
// queue, as the queue does that itself while it is being served.
func (g *group) resolveGranted(w *waiter, grant domain.Grant) {
	for _, d := range g.decode {
		if d.reservedFor == w {
			d.reservedFor = nil
		}
	}
	w.grant = grant
	close(w.done)
}

func (k *Keeper) nextGrantID() domain.GrantID {
	return domain.GrantID(fmt.Sprintf("%s/%x/%x", k.cfg.Self, k.epoch, k.sequence.Add(1)))
}
