package keeper

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// acquire queues a request, or joins it if it already waits, and waits for the
// outcome.
func (g *group) acquire(ctx context.Context, req domain.SlotRequest) (domain.Grant, error) {
	w, promised, err := g.joinOrEnqueue(req)
	if err != nil {
		return domain.Grant{}, err
	}
	if promised != nil {
		return g.awaitSlot(ctx, promised), nil
	}
	end := time.Now().Add(acquireTimeout)
	for g.awaitOutcome(ctx, w, end) {
		continue
	}
	return g.endCall(w)
}

// awaitOutcome waits until there is an outcome, the context ends, the call times
// out, or the first-token target may have become unreachable. It returns whether
// to continue waiting.
func (g *group) awaitOutcome(ctx context.Context, w *waiter, end time.Time) bool {
	timer := pause.NewTimer(min(time.Until(end), g.maxRemainingWait(w)))
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return time.Until(end) > 0 && g.maxRemainingWait(w) > 0
	}
}

// joinOrEnqueue returns the waiter of the request, which may already have an
// outcome, or the request's grant if the slot of that grant is not free yet.
func (g *group) joinOrEnqueue(req domain.SlotRequest) (*waiter, *grant, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil, ports.ErrNotKeeper
	}
	r, ok := g.requests[req.ID.Key()]
	if !ok {
		return g.enqueue(req, now), nil, nil
	}
	attempt, holder := r.identity()
	switch {
	case attempt > req.ID.Attempt:
		return nil, nil, refuseSuperseded()
	case attempt < req.ID.Attempt:
		return g.supersede(r, req, now), nil, nil
	case holder != req.Holder:
		return nil, nil, refuseDuplicate()
	case r.waiter != nil:
		r.waiter.activeCalls++
		g.dispatch(now)
		return r.waiter, nil, nil
	}
	return g.rejoinGranted(r.grant, now)
}

// rejoinGranted handles a call for a request that already has a grant.
func (g *group) rejoinGranted(gr *grant, now time.Time) (*waiter, *grant, error) {
	gr.expiresAt = now.Add(grantTerm)
	if !gr.promised {
		return grantedWaiter(gr.Grant, now), nil, nil
	}
	gr.waitingCalls++
	g.dispatch(now)
	return nil, gr, nil
}

// grantedWaiter returns a waiter whose outcome is an existing grant.
func grantedWaiter(grant domain.Grant, now time.Time) *waiter {
	w := newWaiter(domain.SlotRequest{ID: grant.Request}, 0, now)
	w.grant = grant
	close(w.done)
	return w
}

// identity returns the attempt and the holder of a request.
func (r *request) identity() (int, domain.HostID) {
	if r.waiter != nil {
		return r.waiter.req.ID.Attempt, r.waiter.req.Holder
	}
	return r.grant.Request.Attempt, r.grant.Holder
}

// supersede ends an older attempt at a request and queues the newer one.
func (g *group) supersede(r *request, req domain.SlotRequest, now time.Time) *waiter {
	g.endOlderAttempt(r, req.ID.Attempt, req.Holder)
	return g.enqueue(req, now)
}

// endOlderAttempt ends an attempt that a newer attempt of the given holder
// replaces. The holder of the older attempt is notified if it is another one;
// the same holder already knows.
func (g *group) endOlderAttempt(r *request, attempt int, holder domain.HostID) {
	g.keeper.metrics.superseded.Add(1)
	if r.waiter != nil {
		g.resolve(r.waiter, domain.Grant{}, refuseSuperseded())
		return
	}
	newer := 0
	if holder != r.grant.Holder {
		newer = attempt
	}
	g.revoke(r.grant, newer)
}

// enqueue adds a request to the queue, dispatches, and refuses the request if it
// cannot be admitted.
func (g *group) enqueue(req domain.SlotRequest, now time.Time) *waiter {
	w := g.addWaiter(req, now)
	g.dispatch(now)
	g.admit(w, now)
	return w
}

// addWaiter adds a request to the queue, with one call that waits for its
// outcome. The request is served only after older attempts at it have ended on
// their engines.
func (g *group) addWaiter(req domain.SlotRequest, now time.Time) *waiter {
	w := newWaiter(req, g.queueCost(req), now)
	w.activeCalls = 1
	g.requests[req.ID.Key()] = &request{waiter: w}
	g.queue.Push(&w.entry)
	for id, gr := range g.revoking {
		if id.Key() == req.ID.Key() {
			g.blockOn(w, gr)
		}
	}
	g.keeper.metrics.waiting.Add(1)
	return w
}

// queueCost returns the charge of a request in the fair queue: the number of
// output tokens for which it is expected to hold a decode slot, times the number
// of slots that its memory corresponds to.
func (g *group) queueCost(req domain.SlotRequest) float64 {
	tokens := float64(g.lengthEstimator(req.Route).expectedTokens(req.OutputTokens))
	return tokens * max(1, float64(req.Pieces())/g.piecesPerSlot())
}

// piecesPerSlot returns the memory of the group's decode upstreams per slot, in
// pieces.
func (g *group) piecesPerSlot() float64 {
	slots, pieces := 0, 0
	for _, d := range g.decode {
		slots += d.up.Slots
		pieces += d.up.Pieces
	}
	if slots == 0 || pieces == 0 {
		return 1
	}
	return float64(pieces) / float64(slots)
}

// admit refuses a request that cannot be served, that would wait too long, or
// whose caller has too many waiting requests.
func (g *group) admit(w *waiter, now time.Time) {
	if !w.entry.Waiting() {
		return
	}
	if refusal := g.admissionError(w, now); refusal != nil {
		g.resolve(w, domain.Grant{}, refusal)
	}
}

func (g *group) admissionError(w *waiter, now time.Time) error {
	if refusal := g.refreshSuspicion(w); refusal != nil {
		return refusal
	}
	if refusal := g.infeasible(w); refusal != nil {
		return refusal
	}
	if w.req.MaxWaiting > 0 && g.queue.Waiting(w.req.ID.Caller) > w.req.MaxWaiting {
		g.keeper.metrics.refusedQueueFull.Add(1)
		return refuseQueueFull(w.req.MaxWaiting, g.predictedWait(w))
	}
	left, bounded := w.firstTokenTimeLeft(now)
	if !bounded {
		return nil
	}
	wait := g.predictedWait(w)
	if wait+g.minTimeToFirstToken(w, now) > left {
		g.keeper.metrics.refusedLate.Add(1)
		return refuseLate(wait)
	}
	return nil
}

// infeasible returns the refusal of a request that no upstream of the group can
// ever run, or nil.
func (g *group) infeasible(w *waiter) error {
	largest, allowed := 0, false
	for _, d := range g.decode {
		largest = max(largest, d.up.Pieces)
		allowed = allowed || (d.up.Pieces >= w.req.Pieces() && !slices.Contains(w.req.Avoid, d.up.ID))
	}
	if allowed && g.hasAllowedPrefill(w) {
		return nil
	}
	if len(g.decode) > 0 && w.req.Pieces() > largest {
		g.keeper.metrics.refusedTooLarge.Add(1)
		return refuseTooLarge(w.req.Pieces(), largest)
	}
	g.keeper.metrics.refusedNoUpstream.Add(1)
	return refuseNoUpstream()
}

// hasAllowedPrefill returns whether the request may use any prefill upstream.
func (g *group) hasAllowedPrefill(w *waiter) bool {
	for _, p := range g.prefill {
		if !slices.Contains(w.req.Avoid, p.up.ID) {
			return true
		}
	}
	return false
}

// maxRemainingWait returns how long a request can still wait before its
// first-token target becomes unreachable, at most acquireTimeout.
func (g *group) maxRemainingWait(w *waiter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	left, bounded := w.firstTokenTimeLeft(now)
	if !bounded {
		return acquireTimeout
	}
	return max(0, min(acquireTimeout, left-g.minTimeToFirstToken(w, now)))
}

// endCall ends a call and returns its outcome, or ErrStillQueued if there is
// none yet.
func (g *group) endCall(w *waiter) (domain.Grant, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.activeCalls--
	w.lastCallEnd = now
	if w.entry.Waiting() {
		g.refuseIfLate(w, now)
	}
	select {
	case <-w.done:
		return w.grant, w.err
	default:
		return domain.Grant{}, ports.ErrStillQueued
	}
}

// refuseIfLate refuses a waiting request whose first-token target has become
// unreachable.
func (g *group) refuseIfLate(w *waiter, now time.Time) {
	left, bounded := w.firstTokenTimeLeft(now)
	if !bounded || left > g.minTimeToFirstToken(w, now) {
		return
	}
	g.keeper.metrics.refusedLate.Add(1)
	g.resolve(w, domain.Grant{}, refuseLate(g.predictedWait(w)))
	g.dispatch(now)
}

// resolve gives a waiter its outcome. The queue is to be dispatched afterwards,
// as the next request of the same caller may fit where this one did not.
func (g *group) resolve(w *waiter, grant domain.Grant, err error) {
	if w.entry.Waiting() {
		g.queue.Remove(&w.entry)
		g.keeper.metrics.waiting.Add(-1)
	}
	if err != nil {
		delete(g.requests, w.req.ID.Key())
	}
	for _, d := range g.decode {
		if d.reservedFor == w {
			d.reservedFor = nil
		}
	}
	w.grant, w.err = grant, err
	close(w.done)
}

// withdraw removes a waiting request that its gate withdrew.
func (g *group) withdraw(id domain.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.requests[id.Key()]
	if !ok || r.waiter == nil || r.waiter.req.ID != id {
		return
	}
	g.resolve(r.waiter, domain.Grant{}, refuseWithdrawn())
	g.dispatch(time.Now())
}
