package replay

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

// oracle is an upper bound for the decisions: one scheduler for all hosts that
// sees the true state of all engines at once and knows the lengths of answers.
type oracle struct{}

// Name implements Policy.
func (oracle) Name() string { return "oracle" }

// Start implements Policy.
func (oracle) Start(env *Env) Fleet {
	o := &oracleScheduler{env: env, busy: make(map[domain.UpstreamID]time.Time), runs: make(map[domain.UpstreamID][]*oracleRun)}
	fleet := startBaseline(env, func(int, *reports) chooser { return o })
	ctx, cancel := context.WithCancel(context.Background())
	stop := fleet.cancel
	fleet.cancel = func() { cancel(); stop() }
	fleet.loops.Go(func() { o.run(ctx) })
	return fleet
}

const (
	// oracleTick is how often the oracle looks again while requests wait.
	oracleTick = 10 * time.Millisecond
	// oracleMargin is what remains of a first-token target for the network.
	oracleMargin = 15 * time.Millisecond
)

// oracleRun is a request on a decode engine, or on its way there.
type oracleRun struct {
	pieces int
	// left is the number of tokens that are not emitted yet.
	left    int
	startAt time.Time
}

// oracleWaiter is a request without a place.
type oracleWaiter struct {
	r      *baselineRequest
	tokens int
	keys   []domain.PieceKey
	pieces int
	answer int
	place  chan *baselinePlace
}

type oracleScheduler struct {
	env *Env

	mu      sync.Mutex
	waiting []*oracleWaiter
	busy    map[domain.UpstreamID]time.Time
	runs    map[domain.UpstreamID][]*oracleRun
}

func (o *oracleScheduler) run(ctx context.Context) {
	for pause.For(ctx, oracleTick) {
		o.mu.Lock()
		o.schedule()
		o.mu.Unlock()
	}
}

func (o *oracleScheduler) another(*baselinePlace) (domain.Upstream, bool) {
	return domain.Upstream{}, false
}

func (o *oracleScheduler) choose(ctx context.Context, r *baselineRequest) (*baselinePlace, error) {
	prompt := domain.TokenCount(r.c.Prompt)
	w := &oracleWaiter{
		r:      r,
		tokens: prompt + r.next - 1,
		keys:   domain.PieceKeys(r.c.Model, r.c.Prompt),
		pieces: domain.Pieces(prompt + r.c.MaxTokens),
		answer: answerLength(r.c.Prompt, r.c.MaxTokens) - (r.next - 1),
		place:  make(chan *baselinePlace, 1),
	}
	o.mu.Lock()
	o.insert(w)
	o.schedule()
	o.mu.Unlock()
	select {
	case place := <-w.place:
		if place == nil {
			return nil, refuseLate()
		}
		return place, nil
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = slices.DeleteFunc(o.waiting, func(x *oracleWaiter) bool { return x == w })
	select {
	case place := <-w.place:
		if place != nil {
			place.release()
		}
	default:
	}
	return nil, domain.Refuse(domain.RefusalCanceled, "the caller went away", "send again")
}

// insert keeps interactive requests first, in order of arrival, and patient ones
// after them, the shortest answer first, as that ends the most answers in time.
func (o *oracleScheduler) insert(w *oracleWaiter) {
	at := slices.IndexFunc(o.waiting, func(x *oracleWaiter) bool { return w.before(x) })
	if at < 0 {
		at = len(o.waiting)
	}
	o.waiting = slices.Insert(o.waiting, at, w)
}

func (w *oracleWaiter) before(x *oracleWaiter) bool {
	mine, other := w.r.route.Class == domain.ClassPatient, x.r.route.Class == domain.ClassPatient
	if mine != other {
		return other
	}
	return mine && w.answer < x.answer
}

// schedule places waiting requests whose prefill would end when their decode
// place is free.
func (o *oracleScheduler) schedule() {
	now := time.Now()
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if !o.place(w, now) {
			kept = append(kept, w)
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
}

// oraclePair is a possible place with its predicted times.
type oraclePair struct {
	prefill, decode     domain.Upstream
	done, ready, tokens time.Time
	free                time.Time
}

// place returns whether the request no longer waits.
func (o *oracleScheduler) place(w *oracleWaiter, now time.Time) bool {
	best, ok := o.best(w, now)
	if !ok {
		return false
	}
	if target := w.r.route.FirstToken.D(); w.r.late(0) || w.r.route.Class == domain.ClassInteractive && w.r.late(best.tokens.Sub(now)+oracleMargin) && target > 0 {
		w.place <- nil
		return true
	}
	if best.free.After(best.ready) {
		return false
	}
	o.busy[best.prefill.ID] = best.done
	run := &oracleRun{pieces: w.pieces, left: w.answer, startAt: best.ready}
	id := best.decode.ID
	o.runs[id] = append(o.runs[id], run)
	w.place <- &baselinePlace{
		prefill: best.prefill, decode: best.decode, full: make(map[domain.UpstreamID]bool),
		onFrame: func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			run.left--
		},
		release: func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.runs[id] = slices.DeleteFunc(o.runs[id], func(x *oracleRun) bool { return x == run })
			o.schedule()
		},
	}
	return true
}

// best returns the pair with the earliest first token.
func (o *oracleScheduler) best(w *oracleWaiter, now time.Time) (oraclePair, bool) {
	var best oraclePair
	found := false
	for _, p := range w.r.pool.Upstreams {
		if p.Role != domain.RolePrefill || o.down(p.ID) {
			continue
		}
		done := o.prefillEnd(w, p, now)
		for _, d := range w.r.pool.Upstreams {
			if d.Role != domain.RoleDecode || o.down(d.ID) {
				continue
			}
			pair := oraclePair{prefill: p, decode: d, done: done, ready: done.Add(o.transferTime(w, p, d)), free: o.freeAt(w, d, now)}
			pair.tokens = later(pair.ready, pair.free).Add(o.step(len(o.runs[d.ID]) + 1))
			if !found || pair.tokens.Before(best.tokens) {
				best, found = pair, true
			}
		}
	}
	return best, found
}

func (o *oracleScheduler) down(id domain.UpstreamID) bool {
	e, ok := o.env.Fabric.Engine(id)
	return !ok || e.Down()
}

func (o *oracleScheduler) prefillEnd(w *oracleWaiter, p domain.Upstream, now time.Time) time.Time {
	e, _ := o.env.Fabric.Engine(p.ID)
	tokens := max(0, w.tokens-e.CachedTokens(w.keys))
	took := time.Duration(tokens) * time.Second / time.Duration(p.PrefillRate)
	return later(now, o.busy[p.ID]).Add(took + 10*time.Millisecond)
}

func (o *oracleScheduler) transferTime(w *oracleWaiter, p, d domain.Upstream) time.Duration {
	took := time.Duration(float64(w.tokens) * domain.KVBytesPerToken / float64(min(p.LinkRate, d.LinkRate)) * float64(time.Second))
	if p.Zone != d.Zone {
		took += o.env.Trace.Links.ZoneDelay.D()
	}
	return took
}

func (o *oracleScheduler) step(running int) time.Duration {
	s := o.env.Trace.Engines
	return s.StepBase.D() + time.Duration(running)*s.StepPerRunning.D()
}

// freeAt predicts when a decode engine has a slot and the memory for a request.
func (o *oracleScheduler) freeAt(w *oracleWaiter, d domain.Upstream, now time.Time) time.Time {
	runs := o.runs[d.ID]
	slots, pieces := d.Slots-len(runs), d.Pieces
	ends := make([]oracleEnd, len(runs))
	for i, run := range runs {
		pieces -= run.pieces
		ends[i] = oracleEnd{at: later(now, run.startAt).Add(time.Duration(run.left) * o.step(d.Slots)), pieces: run.pieces}
	}
	slices.SortFunc(ends, func(a, b oracleEnd) int { return a.at.Compare(b.at) })
	at := now
	for _, end := range ends {
		if slots > 0 && pieces >= w.pieces {
			break
		}
		at = end.at
		slots++
		pieces += end.pieces
	}
	return at
}

type oracleEnd struct {
	at     time.Time
	pieces int
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
