package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/internal/shard"
)

const (
	// fullPause is how long an engine that rejected a reservation is not asked for
	// one of that size again: about the time between two requests that end on one
	// engine at full load.
	fullPause = 80 * time.Millisecond
	// pollGap is the time between two tries of the first waiting request.
	pollGap = 25 * time.Millisecond
	// latePollGap is the same for requests that can no longer be on time.
	latePollGap = 150 * time.Millisecond
	// reserveTimeout bounds the call that reserves a place: a few round trips
	// between zones.
	reserveTimeout = 300 * time.Millisecond
	// reserveLife is the wanted life of a reservation: long enough to read a prompt
	// behind a few others.
	reserveLife = 2 * time.Second
	// triesAtOnce bounds the engines that one try asks.
	triesAtOnce = 6
	// serveTime is the time from a place to the first event: reading a prompt and
	// the first step.
	serveTime = 250 * time.Millisecond
	// patience is how long a request waits for a place, in targets of its route:
	// callers leave a stream that is silent for four.
	patience = 2
	// defaultTarget stands for a route that names none.
	defaultTarget = time.Second
	// burstRetry is when a caller should come back after it got no place: bursts last
	// a few seconds.
	burstRetry = 3 * time.Second
	// lateSpare is the memory that must stay free on an engine where a request gets
	// a place which can no longer be on time, so that it takes none from those that
	// can: room for this many requests of its size.
	lateSpare = 2
	// growthSpare is the memory that must stay free where a request gets a place,
	// for those that grow beyond their estimates, as a part of the largest output: a
	// preempted request is read again.
	growthSpare = 0.8
	// headRoom is added to the estimated output, in tokens.
	headRoom = 64
	// hintMargin is the factor on the caller's estimate of the output.
	hintMargin = 0.25
)

// places reserves decode places for the requests of this host. Each service has
// a queue; its first request asks the engines, the others wait for their turn.
type places struct {
	gate   *Gate
	queues *shard.Map[traffic.ServiceName, *placeQueue]
}

func newPlaces(g *Gate) *places {
	return &places{gate: g, queues: shard.NewMap[traffic.ServiceName, *placeQueue]()}
}

func (p *places) queue(service traffic.ServiceName) *placeQueue {
	var found *placeQueue
	p.queues.Update(service, func(q *placeQueue, ok bool) (*placeQueue, bool) {
		if !ok {
			q = &placeQueue{full: make(map[domain.UpstreamID]fullMark)}
		}
		found = q
		return q, true
	})
	return found
}

// placeQueue is the waiting requests of one service and what is known of full
// engines.
type placeQueue struct {
	mu      sync.Mutex
	waiting []*waiter
	full    map[domain.UpstreamID]fullMark
}

// fullMark says that an engine rejected a reservation of a size.
type fullMark struct {
	tokens int
	until  time.Time
}

// waiter is one request that wants a place.
type waiter struct {
	arrived time.Time
	// onTime is until when the request can still be on time.
	onTime time.Time
	// wake is signalled where the request may have become the first one.
	wake chan struct{}
}

// before orders the queue: requests that can be on time first, then by arrival.
func (w *waiter) before(other *waiter, now time.Time) int {
	late, otherLate := now.After(w.onTime), now.After(other.onTime)
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(w.arrived.UnixNano(), other.arrived.UnixNano())
}

// acquire reserves a place, or returns why there is none.
func (p *places) acquire(ctx context.Context, f *flight) (*traffic.Reservation, *domain.Refusal) {
	q := p.queue(f.service)
	if f.engine.MemoryTokens > 0 && reserveTokens(f.req) > f.engine.MemoryTokens {
		return nil, domain.Refuse(domain.RefusalTooLarge, "the request is larger than the memory of an engine",
			"send a shorter prompt or ask for less output")
	}
	target := f.route.Target
	if target <= 0 {
		target = defaultTarget
	}
	w := &waiter{
		arrived: f.req.Arrived,
		onTime:  f.needed.Add(target - serveTime),
		wake:    make(chan struct{}, 1),
	}
	giveUp := f.needed.Add(patience * target)
	q.join(w)
	defer q.leave(w)
	for {
		now := time.Now()
		if q.first(w, now) {
			if r := p.try(ctx, f, q, now, now.After(w.onTime)); r != nil {
				return r, nil
			}
		}
		if now.After(giveUp) {
			return nil, p.refusal(f, q)
		}
		gap := pollGap
		if now.After(w.onTime) {
			gap = latePollGap
		}
		if !w.wait(ctx, gap) {
			return nil, domain.Refuse(domain.RefusalDeadline, "no place on a decode engine in time", "send the request again")
		}
	}
}

// wait waits for a signal or the gap and returns false where the context ended.
func (w *waiter) wait(ctx context.Context, gap time.Duration) bool {
	timer := pause.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.wake:
	case <-timer.C:
	}
	return true
}

func (q *placeQueue) join(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, w)
}

func (q *placeQueue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.wakeFirst(time.Now())
}

// first reports whether a request is the first one to ask.
func (q *placeQueue) first(w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.head(now) == w
}

func (q *placeQueue) head(now time.Time) *waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return slices.MinFunc(q.waiting, func(a, b *waiter) int { return a.before(b, now) })
}

// wakeFirst signals the first request. The caller holds the lock.
func (q *placeQueue) wakeFirst(now time.Time) {
	if w := q.head(now); w != nil {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// freed notes that a request ended on an engine.
func (q *placeQueue) freed(engine domain.UpstreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.full, engine)
	q.wakeFirst(time.Now())
}

// markFull notes a rejected reservation.
func (q *placeQueue) markFull(engine domain.UpstreamID, tokens int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.full[engine] = fullMark{tokens: tokens, until: now.Add(fullPause)}
}

// isFull reports whether an engine lately rejected a reservation that was not
// larger.
func (q *placeQueue) isFull(engine domain.UpstreamID, tokens int, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	mark, ok := q.full[engine]
	return ok && tokens >= mark.tokens && now.Before(mark.until)
}

// try asks a few engines for a place, the least busy first.
func (p *places) try(ctx context.Context, f *flight, q *placeQueue, now time.Time, late bool) *traffic.Reservation {
	g := p.gate
	needed := reserveTokens(f.req)
	spare := int(growthSpare * float64(f.req.MaxOutput))
	if late {
		spare = lateSpare * needed
	}
	// An empty engine takes every request that fits.
	tokens := max(needed, min(needed+spare, f.engine.MemoryTokens))
	open := g.candidates(f.service, now, func(up *traffic.Upstream) bool {
		return up.Role == domain.RoleDecode && f.maySend(up) && !q.isFull(up.ID, tokens, now)
	})
	life := min(reserveLife, f.engine.ReservationLife)
	for range min(triesAtOnce, len(open)) {
		up := pick(open, g.cfg.Zone)
		open = slices.DeleteFunc(open, func(c candidate) bool { return c.up == up })
		r, err := g.reserve(ctx, f, up, tokens, life)
		if err == nil {
			// Only the check of the spare was wanted. The engine must have it back
			// before the place is taken, or the two together need too much.
			g.cfg.Upstreams.DropReservation(ctx, r)
			r, err = g.reserve(ctx, f, up, needed, life)
		}
		if err == nil {
			return r
		}
		q.markFull(up.ID, tokens, time.Now())
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// reserve asks one engine for a place.
func (g *Gate) reserve(ctx context.Context, f *flight, up *traffic.Upstream, tokens int, life time.Duration) (*traffic.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	g.counts.reserves.Add(1)
	began := time.Now()
	r, err := g.cfg.Upstreams.Reserve(ctx, up, tokens, life)
	if err == nil {
		return r, nil
	}
	g.counts.full.Add(1)
	call := asCallError(err)
	if call.Misdirected || call.Effect != traffic.EffectRejected {
		t := g.tracks.of(up)
		t.begin()
		t.end(g.outcomeOf(ctx, nil, err), time.Since(began), time.Now())
	}
	klog.V(1).InfoS("place not reserved", "request", f.req.ID, "upstream", up.ID, "tokens", tokens, "err", err)
	return nil, err
}

// reserveTokens estimates the memory that a request needs on a decode engine.
func reserveTokens(req *traffic.Request) int {
	output := req.MaxOutput
	if req.OutputHint > 0 {
		output = min(output, int(hintMargin*float64(req.OutputHint))+headRoom)
	}
	return req.PromptTokens + output
}

// refusal says that no place was free in time and when one may be.
func (p *places) refusal(f *flight, q *placeQueue) *domain.Refusal {
	q.mu.Lock()
	waiting := len(q.waiting)
	q.mu.Unlock()
	return domain.Refuse(domain.RefusalOverloaded, "no place on a decode engine became free",
		"try again after the stated time").After(burstRetry + time.Duration(waiting)*pollGap)
}
