package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
	"greengagespoke/urgency"
)

const (
	// fullEngineBackoff is how long an engine that rejected a reservation is not
	// asked for one of that size again: about the time between the ends of two
	// requests on one engine at full load.
	fullEngineBackoff = 80 * time.Millisecond
	// pollInterval is the time between two tries of the first request of a queue.
	pollInterval = 25 * time.Millisecond
	// latePollInterval replaces pollInterval for a request that can no longer meet
	// the target latency of its route.
	latePollInterval = 150 * time.Millisecond
	// reserveTimeout bounds one call that reserves a slot: a few round trips between
	// availability zones.
	reserveTimeout = 300 * time.Millisecond
	// reservationTTL is the requested TTL of a reservation: long enough to prefill
	// the prompt behind a few others.
	reservationTTL = 2 * time.Second
	// maxEnginesPerTry bounds the engines that one try asks.
	maxEnginesPerTry = 6
	// firstEventLatency is the time from the reservation of a slot to the first
	// event: the prefill and the first decode step.
	firstEventLatency = 250 * time.Millisecond
	// maxWaitTargets is how long a request waits for a slot, in multiples of its
	// route's target latency. Callers disconnect from a stream that is silent for
	// four, so that one is left to have the prompt prefilled. Callers who are refused
	// come back later than most bursts end.
	maxWaitTargets = 3
	// maxWaitShare is the share of the time until its deadline for which a request waits for a slot
	// at most.
	maxWaitShare = 2.0 / 3
	// defaultTarget is the target latency of a route that sets none.
	defaultTarget = time.Second
	// overloadRetryAfter is the retry delay reported if no slot became free. Bursts
	// last a few seconds.
	overloadRetryAfter = 3 * time.Second
	// lateHeadroomRequests is the memory, in requests of the same size, that must
	// stay free on an engine where a late request gets a slot. It leaves that memory
	// to requests that can still be on time.
	lateHeadroomRequests = 2
	// growthHeadroomFactor is the memory, as a fraction of the request's maximum
	// output, that must stay free on an engine where a request gets a slot. It is for
	// requests that outgrow their estimates: a preempted request is prefilled again.
	growthHeadroomFactor = 0.8
	// maxUnreachedTries is the number of tries in a row without reaching an engine after which
	// another host is to serve the request.
	maxUnreachedTries = 2
	// maxBreaksAtEngine is the number of streams of a request that break at one engine before
	// another one is preferred, if the request may go to one.
	maxBreaksAtEngine = 2
	// outputHeadroomTokens is added to the estimated output.
	outputHeadroomTokens = 64
	// outputHintFactor scales the caller's estimate of the output length.
	outputHintFactor = 0.25
)

// slotReserver reserves slots on decode engines for the requests of this host. Each
// service has a queue. Only its first request asks the engines, the others wait. Streams
// that are bound to a software version wait in lines of their own, one for each version, as
// a free slot of one version is none of another.
type slotReserver struct {
	gate   *Gate
	queues *shard.Map[traffic.ServiceName, *slotQueue]
}

func newSlotReserver(g *Gate) *slotReserver {
	return &slotReserver{gate: g, queues: shard.NewMap[traffic.ServiceName, *slotQueue]()}
}

func (p *slotReserver) queue(service traffic.ServiceName) *slotQueue {
	var found *slotQueue
	p.queues.Update(service, func(q *slotQueue, ok bool) (*slotQueue, bool) {
		if !ok {
			q = &slotQueue{full: make(map[domain.UpstreamID]rejection), shares: urgency.NewShares()}
		}
		found = q
		return q, true
	})
	return found
}

// slotQueue holds the waiting requests of one service and the recent rejections of
// its engines.
type slotQueue struct {
	mu      sync.Mutex
	waiting []*waiter
	full    map[domain.UpstreamID]rejection
	// shares tells which customers got more than their share of the places. typical is the mean
	// memory of recent requests in tokens. placed counts the recent places.
	shares *urgency.Shares
	// excessAt is when the excess of the waiting requests was worked out.
	excessAt time.Time
	typical  float64
	placed   urgency.Rate
}

// rejection records the size of a reservation that an engine rejected. It is ignored
// after the time until.
type rejection struct {
	tokens int
	until  time.Time
}

// line identifies the requests that can use the same slots: those that are bound to the same
// software version, or those that are not bound.
type line struct {
	bound   bool
	version string
}

// waiter is one request that waits for a slot.
type waiter struct {
	turn
	line line
	// giveUp is when the request is refused without a slot.
	giveUp time.Time
	// wake is signalled when the request may have become the first of the queue.
	wake chan struct{}
}

// acquire waits for a slot and reserves it, or returns a refusal.
func (p *slotReserver) acquire(ctx context.Context, f *inFlight) (*traffic.Reservation, *domain.Refusal) {
	q := p.queue(f.service)
	if f.engine.MemoryTokens > 0 && estimateTokens(f.req) > f.engine.MemoryTokens {
		return nil, domain.Refuse(domain.RefusalTooLarge, "the request is larger than the memory of an engine",
			"send a shorter prompt or ask for less output")
	}
	target := f.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	w := &waiter{turn: newTurn(f, target), line: line{f.bound, f.version}, wake: make(chan struct{}, 1)}
	patience := time.Duration(maxWaitShare * float64(f.answerDeadline.Sub(f.slotNeededSince)))
	w.giveUp = f.slotNeededSince.Add(min(maxWaitTargets*target, patience))
	q.enqueue(w)
	defer q.remove(w)
	if refusal := p.hopelessRefusal(f, q, w); refusal != nil {
		return nil, refusal
	}
	unreached := 0
	for {
		if refusal := p.gate.quarantined(f); refusal != nil {
			return nil, refusal
		}
		if refusal := p.gate.versionGone(f); refusal != nil {
			return nil, refusal
		}
		if refusal := p.gate.stopsTooSoon(f, true); refusal != nil {
			return nil, refusal
		}
		if p.gate.isCutOff(f) {
			return nil, cutOffRefusal(f.service)
		}
		if !p.gate.hasDecodeEngine(f.service) {
			return nil, noUpstreamRefusal(f.service)
		}
		now := time.Now()
		if q.isFirst(w, now) {
			r, result := p.tryReserve(ctx, f, q, now, w)
			if r != nil {
				q.gotPlace(w, time.Now())
				return r, nil
			}
			if result == tryLimited && f.left() == 0 {
				return nil, fullRefusal(f.level)
			}
			if result == tryLimited {
				return nil, p.gate.rateLimitedRefusal(f)
			}
			if result != tryUnreached {
				unreached = 0
			} else if unreached++; unreached >= maxUnreachedTries {
				return nil, cutOffRefusal(f.service)
			}
		}
		if now.After(w.giveUp) {
			return nil, p.overloadedRefusal(f, q)
		}
		interval := pollInterval
		if w.isLate(now) {
			interval = latePollInterval
		}
		if !w.wait(ctx, interval) {
			return nil, domain.Refuse(domain.RefusalDeadline, "no place on a decode engine in time", "send the request again")
		}
	}
}

// hasDecodeEngine reports whether a decode engine of a service takes new requests.
func (g *Gate) hasDecodeEngine(service traffic.ServiceName) bool {
	return slices.ContainsFunc(g.cfg.Catalog.Ready(service), func(up *traffic.Upstream) bool { return up.Role == domain.RoleDecode })
}

// mayStream reports whether an upstream is a decode engine that fits to the stream.
func (f *inFlight) mayStream(up *traffic.Upstream) bool {
	return up.Role == domain.RoleDecode && f.fits(up) && !f.replaced[up.Incarnation()]
}

// isWorn reports whether so many streams of the request broke at an engine that another one is
// preferred.
func (f *inFlight) isWorn(up *traffic.Upstream) bool {
	return f.breaks[up.Incarnation()] >= maxBreaksAtEngine
}

// hasOtherEngine reports whether the request may go to an engine at which it did not break so
// often.
func (g *Gate) hasOtherEngine(f *inFlight) bool {
	return slices.ContainsFunc(g.cfg.Catalog.Ready(f.service), func(up *traffic.Upstream) bool {
		return f.mayStream(up) && f.maySend(up) && !f.isWorn(up)
	})
}

// wait blocks until the waiter is signalled or interval has passed. It returns
// false if ctx ended.
func (w *waiter) wait(ctx context.Context, interval time.Duration) bool {
	timer := pause.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.wake:
	case <-timer.C:
	}
	return true
}

func (q *slotQueue) enqueue(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, w)
	q.observe(w.tokens)
	w.excess = q.shares.Excess(w.customer, time.Now())
}

func (q *slotQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.wakeFirst(time.Now())
}

// isFirst reports whether w is the first of its line.
func (q *slotQueue) isFirst(w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.heads(now)[w.line] == w
}

// heads returns the first request of each line.
func (q *slotQueue) heads(now time.Time) map[line]*waiter {
	first := make(map[line]*waiter, 1)
	if now.Sub(q.excessAt) >= pollInterval {
		q.excessAt = now
		for _, w := range q.waiting {
			w.excess = q.shares.Excess(w.customer, now)
		}
	}
	for _, w := range q.waiting {
		if head, ok := first[w.line]; !ok || w.compare(head.turn, now) < 0 {
			first[w.line] = w
		}
	}
	return first
}

// wakeFirst signals the first request of each line. The caller holds the lock.
func (q *slotQueue) wakeFirst(now time.Time) {
	for _, w := range q.heads(now) {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// requestEnded records that a request ended on an engine, so that the engine is
// asked again.
func (q *slotQueue) requestEnded(engine domain.UpstreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.full, engine)
	q.wakeFirst(time.Now())
}

// markFull records a rejected reservation.
func (q *slotQueue) markFull(engine domain.UpstreamID, tokens int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.full[engine] = rejection{tokens: tokens, until: now.Add(fullEngineBackoff)}
}

// isFull reports whether an engine recently rejected a reservation of this size or
// a smaller one.
func (q *slotQueue) isFull(engine domain.UpstreamID, tokens int, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	mark, ok := q.full[engine]
	return ok && tokens >= mark.tokens && now.Before(mark.until)
}

// tryResult says why a try reserved no slot.
type tryResult int

const (
	// tryFull means that engines have no slot now.
	tryFull tryResult = iota
	// tryLimited means that only rate limits keep the request from all engines.
	tryLimited
	// tryUnreached means that none of the engines that were asked was reached.
	tryUnreached
)

// tryReserve asks a few engines for a slot, the cheapest first. It returns nil if
// none grants it.
func (p *slotReserver) tryReserve(ctx context.Context, f *inFlight, q *slotQueue, now time.Time, w *waiter) (*traffic.Reservation, tryResult) {
	g := p.gate
	needed, tokens := q.tokensFor(f, w, now)
	full := false
	another := g.hasOtherEngine(f)
	remaining := g.candidates(f.service, now, func(up *traffic.Upstream) bool {
		if !f.mayStream(up) || !f.maySend(up) || another && f.isWorn(up) {
			return false
		}
		if q.isFull(up.ID, tokens, now) {
			full = true
			return false
		}
		return true
	})
	g.weighHeld(f, remaining, now)
	g.weighSpeed(f.service, remaining)
	ttl := min(reservationTTL, f.engine.ReservationTTL)
	failure := tryUnreached
	if full || len(remaining) == 0 {
		failure = tryFull
	}
	for range min(maxEnginesPerTry, len(remaining)) {
		up, held, limited := g.takeBest(ctx, remaining)
		if up == nil && limited && !full {
			return nil, tryLimited
		}
		if up == nil {
			return nil, failure
		}
		remaining = slices.DeleteFunc(remaining, func(c candidate) bool { return c.up == up })
		ask := tokens
		if g.cfg.RateLimits.Limited(up) {
			ask = needed // An engine with a rate limit is not asked twice.
		}
		r, err := g.reserve(ctx, f, up, ask, ttl)
		if err == nil && ask > needed {
			// This reservation only checked the headroom. It must be released before
			// the slot is reserved, or the two together need too much memory.
			g.releaseReservation(ctx, r)
			r, err = g.reserve(ctx, f, up, needed, ttl)
		}
		if err == nil {
			f.held.decode = held
			return r, tryFull
		}
		if call := asCallError(err); call.Effect != traffic.EffectNotSent || call.Misdirected {
			failure = tryFull
			q.markFull(up.ID, tokens, time.Now())
		}
		full = true
		g.cfg.RateLimits.GiveBack(up)
		if ctx.Err() != nil {
			return nil, tryFull
		}
	}
	return nil, failure
}

// tokensFor returns the memory that a request needs on a decode engine, and that with the headroom
// that must stay free, in tokens.
func (q *slotQueue) tokensFor(f *inFlight, w *waiter, now time.Time) (needed, tokens int) {
	needed = estimateTokens(f.req)
	headroom := int(growthHeadroomFactor * float64(f.req.MaxOutput))
	if w.isLate(now) {
		headroom = lateHeadroomRequests * needed
	}
	headroom = max(headroom, q.levelHeadroom(w, f.engine.MemoryTokens, now))
	// The headroom must not keep a request that fits from an empty engine.
	return needed, max(needed, min(needed+headroom, f.engine.MemoryTokens))
}

// reserve asks one engine for a slot.
func (g *Gate) reserve(ctx context.Context, f *inFlight, up *traffic.Upstream, tokens int, ttl time.Duration) (*traffic.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	g.metrics.reservations.Add(1)
	began := time.Now()
	r, err := g.cfg.Upstreams.Reserve(ctx, up, tokens, ttl)
	g.observeReach(ctx, f.service, err)
	if err == nil {
		return r, nil
	}
	g.metrics.reservationsRejected.Add(1)
	call := asCallError(err)
	g.countFailure(call)
	if call.Misdirected || call.Effect != traffic.EffectRejected {
		t := g.stats.forUpstream(up)
		t.callStarted()
		t.callEnded(g.outcomeOf(ctx, nil, err), time.Since(began), time.Now())
	}
	klog.V(1).InfoS("slot not reserved", "request", f.req.ID, "upstream", up.ID, "tokens", tokens, "err", err)
	return nil, err
}

// estimateTokens estimates the memory that a request needs on a decode engine, in
// tokens.
func estimateTokens(req *traffic.Request) int {
	output := req.MaxOutput
	if req.OutputHint > 0 {
		output = min(output, int(outputHintFactor*float64(req.OutputHint))+outputHeadroomTokens)
	}
	return req.PromptTokens + output
}

// overloadedRefusal is the refusal if no slot became free in time. Its retry delay
// grows with the length of the queue.
func (p *slotReserver) overloadedRefusal(f *inFlight, q *slotQueue) *domain.Refusal {
	q.mu.Lock()
	waiting := len(q.waiting)
	q.mu.Unlock()
	return domain.Refuse(domain.RefusalOverloaded, "no place on a decode engine became free",
		"try again after the stated time").WithRetryAfter(f.level.RetryAfter(overloadRetryAfter + time.Duration(waiting)*pollInterval))
}
