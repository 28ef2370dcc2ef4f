package keeper

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// acquire queues a request, or joins it where it waits already, and waits for
// the outcome.
func (g *group) acquire(ctx context.Context, req domain.PlaceRequest) (domain.Grant, error) {
	w, promised, err := g.join(req)
	if err != nil {
		return domain.Grant{}, err
	}
	if promised != nil {
		return g.awaitPlace(ctx, promised), nil
	}
	end := time.Now().Add(pollTime)
	for g.await(ctx, w, end) {
		continue
	}
	return g.leave(w)
}

// await waits for the outcome until the call ends or the first-token target may
// be out of reach. It returns whether to go on waiting.
func (g *group) await(ctx context.Context, w *waiter, end time.Time) bool {
	timer := pause.NewTimer(min(time.Until(end), g.patience(w)))
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return time.Until(end) > 0 && g.patience(w) > 0
	}
}

// join returns the waiter of the request, which may be done already, or the
// request's grant where its place is not free yet.
func (g *group) join(req domain.PlaceRequest) (*waiter, *grant, error) {
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
		r.waiter.calls++
		g.dispatch(now)
		return r.waiter, nil, nil
	}
	return g.rejoin(r.grant, now)
}

// rejoin answers a call for a request that has its grant.
func (g *group) rejoin(gr *grant, now time.Time) (*waiter, *grant, error) {
	gr.expires = now.Add(grantTerm)
	if !gr.promised {
		return granted(gr.Grant, now), nil, nil
	}
	gr.asking++
	g.dispatch(now)
	return nil, gr, nil
}

// granted returns a waiter whose outcome is a grant that exists already.
func granted(grant domain.Grant, now time.Time) *waiter {
	w := newWaiter(domain.PlaceRequest{ID: grant.Request}, 0, now)
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
func (g *group) supersede(r *request, req domain.PlaceRequest, now time.Time) *waiter {
	g.endOlder(r, req.ID.Attempt, req.Holder)
	return g.enqueue(req, now)
}

// endOlder ends an attempt that a newer one of the given holder replaces. Another
// holder is told; the same one knows.
func (g *group) endOlder(r *request, attempt int, holder domain.HostID) {
	g.keeper.metrics.superseded.Add(1)
	if r.waiter != nil {
		g.finish(r.waiter, domain.Grant{}, refuseSuperseded())
		return
	}
	newer := 0
	if holder != r.grant.Holder {
		newer = attempt
	}
	g.revoke(r.grant, newer)
}

// enqueue queues a request and serves the queue.
func (g *group) enqueue(req domain.PlaceRequest, now time.Time) *waiter {
	w := g.wait(req, now)
	g.dispatch(now)
	g.admit(w, now)
	return w
}

// wait adds a request to the queue, with one call that waits for its outcome. It
// is served after older attempts at it have ended on their engines.
func (g *group) wait(req domain.PlaceRequest, now time.Time) *waiter {
	w := newWaiter(req, g.cost(req), now)
	w.calls = 1
	g.requests[req.ID.Key()] = &request{waiter: w}
	g.queue.Push(&w.entry)
	for id, gr := range g.revoking {
		if id.Key() == req.ID.Key() {
			g.block(w, gr)
		}
	}
	g.keeper.metrics.waiting.Add(1)
	return w
}

// cost is what a request is charged in the fair queue: the expected tokens that
// it occupies a decode place for, times the places that its memory is worth.
func (g *group) cost(req domain.PlaceRequest) float64 {
	tokens := float64(g.route(req.Route).expected(req.OutputTokens))
	return tokens * max(1, float64(req.Pieces())/g.piecesPerSlot())
}

// piecesPerSlot is the memory of the group's decode upstreams per slot.
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
// whose caller has too many waiting.
func (g *group) admit(w *waiter, now time.Time) {
	if !w.entry.Waiting() {
		return
	}
	if refusal := g.verdict(w, now); refusal != nil {
		g.finish(w, domain.Grant{}, refusal)
	}
}

func (g *group) verdict(w *waiter, now time.Time) error {
	if refusal := g.refreshSuspicion(w); refusal != nil {
		return refusal
	}
	if refusal := g.impossible(w); refusal != nil {
		return refusal
	}
	if w.req.MaxWaiting > 0 && g.queue.Waiting(w.req.ID.Caller) > w.req.MaxWaiting {
		g.keeper.metrics.queueFull.Add(1)
		return refuseQueueFull(w.req.MaxWaiting, g.predictedWait(w))
	}
	left, bounded := w.left(now)
	if !bounded {
		return nil
	}
	wait := g.predictedWait(w)
	if wait+g.leadTime(w, now) > left {
		g.keeper.metrics.late.Add(1)
		return refuseLate(wait)
	}
	return nil
}

// impossible refuses a request that no upstream of the group can ever run.
func (g *group) impossible(w *waiter) error {
	largest, allowed := 0, false
	for _, d := range g.decode {
		largest = max(largest, d.up.Pieces)
		allowed = allowed || (d.up.Pieces >= w.req.Pieces() && !slices.Contains(w.req.Avoid, d.up.ID))
	}
	if allowed && g.canPrefill(w) {
		return nil
	}
	if len(g.decode) > 0 && w.req.Pieces() > largest {
		g.keeper.metrics.tooLarge.Add(1)
		return refuseTooLarge(w.req.Pieces(), largest)
	}
	g.keeper.metrics.noUpstream.Add(1)
	return refuseNoUpstream()
}

// canPrefill returns whether the request may use any prefill upstream.
func (g *group) canPrefill(w *waiter) bool {
	for _, p := range g.prefill {
		if !slices.Contains(w.req.Avoid, p.up.ID) {
			return true
		}
	}
	return false
}

// patience returns how long a request can wait until its first-token target is
// out of reach, at most the poll time.
func (g *group) patience(w *waiter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	left, bounded := w.left(now)
	if !bounded {
		return pollTime
	}
	return max(0, min(pollTime, left-g.leadTime(w, now)))
}

// leave ends a call and returns the outcome, if there is one.
func (g *group) leave(w *waiter) (domain.Grant, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.calls--
	w.lastCall = now
	if w.entry.Waiting() {
		g.giveUp(w, now)
	}
	select {
	case <-w.done:
		return w.grant, w.err
	default:
		return domain.Grant{}, ports.ErrStillQueued
	}
}

// giveUp refuses a waiting request whose first-token target is out of reach.
func (g *group) giveUp(w *waiter, now time.Time) {
	left, bounded := w.left(now)
	if !bounded || left > g.leadTime(w, now) {
		return
	}
	g.keeper.metrics.late.Add(1)
	g.finish(w, domain.Grant{}, refuseLate(g.predictedWait(w)))
	g.dispatch(now)
}

// finish gives a waiter its outcome. The next request of its caller may fit where
// this one did not, so the queue is to be served after it.
func (g *group) finish(w *waiter, grant domain.Grant, err error) {
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

// withdraw removes a waiting request.
func (g *group) withdraw(id domain.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.requests[id.Key()]
	if !ok || r.waiter == nil || r.waiter.req.ID != id {
		return
	}
	g.finish(r.waiter, domain.Grant{}, refuseWithdrawn())
	g.dispatch(time.Now())
}
