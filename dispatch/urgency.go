package dispatch

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
	"greengagespoke/urgency"
)

const (
	// countedLevels is the number of levels with counters of their own. The last ones share one.
	countedLevels = 4
	// typicalRequests is the number of recent requests over which their typical memory is averaged.
	typicalRequests = 32
	// yieldPause is how long a plain call that an upstream rejected leaves the other upstreams to
	// more urgent calls: about the time in which two places in the queue of an upstream with six
	// slots become free.
	yieldPause = 20 * time.Millisecond
	// rejectionMemory is how long a rejection of a more urgent call counts: the target latency of
	// plain calls, in which it is tried elsewhere.
	rejectionMemory = 200 * time.Millisecond
)

var (
	defLevelPlaces = [countedLevels]counters.Def{
		counters.Define("dispatch_level0_places", "slots on decode engines that requests of the most urgent level got, where there are several levels"),
		counters.Define("dispatch_level1_places", "the same of the second level"),
		counters.Define("dispatch_level2_places", "the same of the third level"),
		counters.Define("dispatch_level3_places", "the same of all further levels"),
	}
	defLevelRefused = [countedLevels]counters.Def{
		counters.Define("dispatch_level0_refused", "requests of the most urgent level that were rejected, where there are several levels"),
		counters.Define("dispatch_level1_refused", "the same of the second level"),
		counters.Define("dispatch_level2_refused", "the same of the third level"),
		counters.Define("dispatch_level3_refused", "the same of all further levels"),
	}
	defLevelWait = [countedLevels]counters.Def{
		counters.Define("dispatch_level0_wait_ms", "time that requests of the most urgent level waited for a slot on a decode engine, where there are several levels, in milliseconds"),
		counters.Define("dispatch_level1_wait_ms", "the same of the second level"),
		counters.Define("dispatch_level2_wait_ms", "the same of the third level"),
		counters.Define("dispatch_level3_wait_ms", "the same of all further levels"),
	}
	defYielded  = counters.Define("dispatch_yielded", "plain calls that were rejected by an upstream and left the next one to more urgent calls")
	defHopeless = counters.Define("dispatch_hopeless", "requests that were rejected at once, as others that come first waited for all slots that they could have got")
)

// urgencies holds the levels of the configuration in force and the counters by level.
type urgencies struct {
	current atomic.Pointer[configLevels]
	// rejections holds when upstreams of each service last rejected a plain call of each level.
	rejections        *shard.Map[traffic.ServiceName, [urgency.MaxLevels]time.Time]
	hopeless, yielded *expvar.Int
	places            [countedLevels]*expvar.Int
	refused           [countedLevels]*expvar.Int
	wait              [countedLevels]*counters.Histogram
}

// configLevels holds the levels of one configuration.
type configLevels struct {
	version domain.Revision
	levels  *urgency.Levels
}

func newUrgencies(set *counters.Set) *urgencies {
	u := &urgencies{
		rejections: shard.NewMap[traffic.ServiceName, [urgency.MaxLevels]time.Time](),
		hopeless:   set.Int(defHopeless), yielded: set.Int(defYielded),
	}
	for i := range countedLevels {
		u.places[i], u.refused[i], u.wait[i] = set.Int(defLevelPlaces[i]), set.Int(defLevelRefused[i]), set.Histogram(defLevelWait[i])
	}
	return u
}

// levelOf returns the level of a request. The levels are computed once for each version of the
// configuration.
func (u *urgencies) levelOf(f *inFlight, config *traffic.Config) urgency.Level {
	cached := u.current.Load()
	if cached == nil || cached.version != config.Version {
		fresh := &configLevels{config.Version, urgency.NewLevels(config)}
		if cached == nil || cached.version < config.Version {
			u.current.Store(fresh)
		}
		cached = fresh
	}
	return cached.levels.Of(f.service, f.req.Customer, f.route)
}

// placed counts a request that got a slot.
func (u *urgencies) placed(f *inFlight, now time.Time) {
	if f.level.Matters() {
		i := min(f.level.Index, countedLevels-1)
		u.places[i].Add(1)
		u.wait[i].Record(now.Sub(f.slotNeededSince))
	}
}

// refuseAtLevel refuses a request whose level is known.
func (g *Gate) refuseAtLevel(f *inFlight, caller traffic.Caller, refusal *domain.Refusal) {
	if f.level.Matters() {
		g.urgency.refused[min(f.level.Index, countedLevels-1)].Add(1)
	}
	g.refuse(f.req, caller, refusal, f.levelDetails()...)
}

// levelDetails returns what log lines say about the level, nothing if there is only one.
func (f *inFlight) levelDetails() []any {
	if !f.level.Matters() {
		return nil
	}
	var customer traffic.CustomerName
	if f.req.Customer != nil {
		customer = f.req.Customer.Name
	}
	return []any{"level", f.level.Index, "levels", f.level.Count, "customer", customer}
}

// engineUrgency returns the urgency that engines are told, or nil.
func (f *inFlight) engineUrgency() *int {
	if value := f.level.EngineValue(); value >= 0 {
		return &value
	}
	return nil
}

// observe records the memory of a request that begins to wait. The caller holds the lock.
func (q *slotQueue) observe(tokens int) {
	if q.typical == 0 {
		q.typical = float64(tokens)
	}
	q.typical += (float64(tokens) - q.typical) / typicalRequests
}

// levelHeadroom returns the memory that must stay free for more urgent requests on an engine where
// a waiting request gets a slot, in tokens.
func (q *slotQueue) levelHeadroom(w *waiter, memory int, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.level.Headroom(now.Sub(w.since), w.target, int(q.typical), memory)
}

// gotPlace records that a request got a slot.
func (q *slotQueue) gotPlace(w *waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.placed.Add(now)
	q.shares.Placed(w.customer, w.tokens, now)
}

// hopelessRefusal is the refusal of a request that gets no slot before it gives up, as too many come
// before it that wait for longer. It returns nil if the request may get one. A stream of which the
// caller has events waits in any case.
func (p *slotReserver) hopelessRefusal(f *inFlight, q *slotQueue, w *waiter) *domain.Refusal {
	if !w.level.Matters() || f.eventsSent > 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now, ahead := time.Now(), 0
	for _, other := range q.waiting {
		if other != w && other.line == w.line && other.giveUp.After(w.giveUp) && other.compare(w.turn, now) < 0 {
			ahead++
		}
	}
	placed, window := q.placed.Count(now)
	if !w.level.Hopeless(ahead, placed, window, w.giveUp.Sub(now)) {
		return nil
	}
	p.gate.urgency.hopeless.Add(1)
	return domain.Refuse(domain.RefusalOverloaded, "other requests come first for all places on decode engines",
		"try again after the stated time").WithRetryAfter(f.level.RetryAfter(overloadRetryAfter + time.Duration(len(q.waiting))*pollInterval))
}

// yieldRetry lets more urgent calls that upstreams of the service rejected at this host go first
// to the others. A call that has no further attempt does not wait.
func (g *Gate) yieldRetry(ctx context.Context, c *plainCall) {
	if !c.level.Matters() || c.left() == 0 || c.lastErr.Effect != traffic.EffectRejected {
		return
	}
	now, yields := time.Now(), false
	g.urgency.rejections.Update(c.service, func(last [urgency.MaxLevels]time.Time, _ bool) ([urgency.MaxLevels]time.Time, bool) {
		for _, at := range last[:c.level.Index] {
			yields = yields || now.Sub(at) < rejectionMemory
		}
		last[c.level.Index] = now
		return last, true
	})
	if yields {
		g.urgency.yielded.Add(1)
		pause.For(ctx, yieldPause)
	}
}
