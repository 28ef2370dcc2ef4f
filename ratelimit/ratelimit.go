// Package ratelimit keeps the rate limits that upstreams state, which hold for all hosts
// together.
//
// One host grants the requests to an upstream with a limit, from one token bucket, so that
// any number of hosts can use the whole of a low limit. The others ask it before each
// request. A host that is denied does not ask again for a while, which bounds the messages.
// Hosts agree on the granting host by their view of the members. If it cannot be reached,
// nothing is granted until it is replaced. The hosts pass on what upstreams state with
// their requests and replies, so that the newest statement holds for all of them.
//
// An upstream may also ask one host for rest. It then gets nothing from this host for the time
// that it names, which other hosts need not know.
package ratelimit

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/shard"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// minRate is the least rate at which a limited upstream is used, in requests a second.
	// Without any request nobody would learn that its limit has ended.
	minRate = 0.1
	// askTimeout bounds the question to the granting host: several round trips between
	// availability zones.
	askTimeout = 80 * time.Millisecond
	// longestWait bounds the wait that another host names. A granting host of 1,000 hosts that all
	// ask names 200 s.
	longestWait = 5 * time.Minute
	// askRetryDelay is the wait after a question that was not answered.
	askRetryDelay = time.Second
	// waitJitter is the fraction by which waits are shortened at random, so that hosts do
	// not ask at once.
	waitJitter = 0.5
	// unusedGrantTTL is how long a grant that was not used may be used for another request.
	unusedGrantTTL = time.Second
	// firstAfterRest is the time from the first request after a rest to the others. An upstream
	// that still rejects requests does so within it.
	firstAfterRest = 500 * time.Millisecond
	// stateTTL is how long the state of a process that is not called is kept.
	stateTTL = 10 * time.Minute
	// cleanupInterval is the time between two removals of such states.
	cleanupInterval = time.Minute
)

var (
	defOdd    = counters.Define("ratelimit_odd", "rate limits from other hosts that no upstream can have stated; they are ignored")
	defStated = counters.Define("ratelimit_stated", "changes of the rate limits that upstreams state, in responses or as other hosts report")
	defSent   = counters.Define("ratelimit_sent", "requests sent to upstreams that have stated a rate limit: calls, prompts and streams")
	defAsked  = counters.Define("ratelimit_asked", "requests to upstreams with a rate limit for which this host asked the granting host, itself included")
	defRests  = counters.Define("ratelimit_rests", "times that an upstream asked this host for rest, or for more of it")
	defAtRest = counters.Define("ratelimit_sent_at_rest", "requests that were sent to an upstream while it rested")
	defDenied = counters.Define("ratelimit_denied", "those that were not granted, because of the limit or as the granting host did not answer")
)

// Config holds the dependencies of Limits.
type Config struct {
	Self domain.HostID
	// GrantingHost returns the host that grants the requests to a process.
	GrantingHost func(process domain.UpstreamID) domain.HostID
	// Peer returns a client for another host.
	Peer     func(host domain.HostID) ports.RatePeer
	Counters *counters.Set
}

// Limits decides which requests may be sent to upstreams that state a rate limit. It
// implements ports.RatePeer. It is safe for concurrent use.
type Limits struct {
	cfg    Config
	states *shard.Map[domain.UpstreamID, *state]
	// known is the number of states. While it is 0, as usual, nothing is looked up.
	known atomic.Int64

	mu sync.Mutex
	// pending holds the processes whose granting hosts Run is to ask for a request, or only
	// to tell the limit if the value is false.
	pending map[domain.UpstreamID]bool
	// wake is signalled when pending grows.
	wake chan struct{}
}

// state is what is known of one process of an upstream.
type state struct {
	process domain.UpstreamID

	mu sync.Mutex
	// rate is the stated limit in requests a second; 0 if there is none. It was stated at
	// statedAt.
	rate     float64
	statedAt time.Time
	lastUsed time.Time
	// asking means that a question is being answered. Until deniedUntil none is asked.
	asking      bool
	deniedUntil time.Time
	// unusedUntil is until when a grant that was not used is valid.
	unusedUntil time.Time
	// restUntil is the end of the rest that the upstream asked for. untried means that no
	// request was sent since, firstUntil is until when only the first one is.
	restUntil, firstUntil time.Time
	untried               bool
	bucket                bucket
}

// New returns a Limits that knows no limits.
func New(cfg Config) *Limits {
	return &Limits{
		cfg: cfg, states: shard.NewMap[domain.UpstreamID, *state](),
		pending: make(map[domain.UpstreamID]bool), wake: make(chan struct{}, 1),
	}
}

func processOf(up *traffic.Upstream) domain.UpstreamID {
	return domain.UpstreamID(up.Incarnation().String())
}

// Observe records that an upstream stated a rate limit in a response, in requests a second,
// or that it states none. It does not block.
func (l *Limits) Observe(up *traffic.Upstream, rate float64, stated bool) {
	s := l.lookUp(up)
	if s == nil && !stated {
		return
	}
	if stated {
		s, rate = l.state(processOf(up)), max(rate, minRate)
	}
	s.mu.Lock()
	changed := l.setRate(s, rate, time.Now())
	s.mu.Unlock()
	if changed && l.cfg.GrantingHost(s.process) != l.cfg.Self {
		l.enqueue(s.process, false)
	}
}

// setRate sets the rate unless a newer statement is known, and reports whether it changed.
// The caller holds the lock of the state.
func (l *Limits) setRate(s *state, rate float64, statedAt time.Time) bool {
	if statedAt.Before(s.statedAt) {
		return false
	}
	s.statedAt = statedAt
	if s.rate == rate {
		return false
	}
	l.cfg.Counters.Int(defStated).Add(1)
	klog.InfoS("upstream states a rate limit", "process", s.process, "rate", rate, "before", s.rate)
	s.rate = rate
	// What was denied under the earlier limit may be granted now.
	s.deniedUntil = time.Time{}
	return true
}

// setStatedRate sets the rate that another host knows, unless it is none that a host may know. The
// caller holds the lock of the state.
func (l *Limits) setStatedRate(s *state, limit ports.RateLimit, now time.Time) {
	if limit.Age < 0 || limit.Rate < 0 || math.IsNaN(limit.Rate) || math.IsInf(limit.Rate, 0) {
		l.cfg.Counters.Int(defOdd).Add(1)
		klog.InfoS("odd rate limit from another host ignored", "process", s.process, "rate", limit.Rate, "age", limit.Age)
		return
	}
	l.setRate(s, limit.Rate, now.Add(-limit.Age))
}

// Rest records that an upstream wants no requests of this host for a while. It does not block.
func (l *Limits) Rest(up *traffic.Upstream, rest time.Duration) {
	s := l.state(processOf(up))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	until := now.Add(rest)
	if !until.After(s.restUntil) {
		return // What it asked for before still holds.
	}
	l.cfg.Counters.Int(defRests).Add(1)
	if !now.Before(s.restUntil) {
		klog.InfoS("upstream asks for rest", "process", s.process, "rest", rest)
	}
	s.restUntil, s.untried, s.firstUntil = until, true, time.Time{}
}

// Resting reports whether an upstream wants no requests of this host now.
func (l *Limits) Resting(up *traffic.Upstream) bool {
	s := l.lookUp(up)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.restUntil)
}

// Wait returns the time until an upstream is expected to take a request: the end of its rest, or
// the mean time between two requests of its rate limit.
func (l *Limits) Wait(up *traffic.Upstream) time.Duration {
	s := l.lookUp(up)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(0, time.Until(s.restUntil))
	if s.rate > 0 {
		wait = max(wait, time.Duration(float64(time.Second)/s.rate))
	}
	return wait
}

// Sent counts a request that is sent to an upstream.
func (l *Limits) Sent(up *traffic.Upstream) {
	if _, limited := l.Rate(up); limited {
		l.cfg.Counters.Int(defSent).Add(1)
	}
	if l.Resting(up) {
		l.cfg.Counters.Int(defAtRest).Add(1)
	}
}

// Limited reports whether a request to an upstream may have to wait: it states a rate limit or
// asked for rest.
func (l *Limits) Limited(up *traffic.Upstream) bool {
	s := l.lookUp(up)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate > 0 || s.rests(time.Now())
}

// Rate returns the rate limit of an upstream in requests a second. limited is false if it
// states none.
func (l *Limits) Rate(up *traffic.Upstream) (rate float64, limited bool) {
	s := l.lookUp(up)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate, s.rate > 0
}

// TakeReady reports whether a request may be sent to an upstream without asking another
// host: it has no limit, or a grant is left. A grant that is not used must be given back.
func (l *Limits) TakeReady(up *traffic.Upstream) bool {
	s := l.lookUp(up)
	return s == nil || s.takeReady(time.Now())
}

func (s *state) takeReady(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
	if s.rests(now) {
		return false
	}
	left := s.rate == 0 || now.Before(s.unusedUntil)
	if s.rate > 0 {
		s.unusedUntil = time.Time{}
	}
	if left {
		s.beginFirst(now)
	}
	return left
}

// rests reports whether the upstream wants no requests, or the first one after its rest has just
// been sent. The caller holds the lock.
func (s *state) rests(now time.Time) bool { return now.Before(s.restUntil) || now.Before(s.firstUntil) }

// beginFirst notes that a request is sent, so that the others wait if it is the first one after a
// rest. The caller holds the lock.
func (s *state) beginFirst(now time.Time) {
	if s.untried {
		s.untried, s.firstUntil = false, now.Add(firstAfterRest)
	}
}

// Prefetch asks for a grant in the background, for the next request. It does not block.
func (l *Limits) Prefetch(up *traffic.Upstream) {
	if s := l.lookUp(up); s != nil && s.beginAsking(time.Now()) {
		l.enqueue(s.process, true)
	}
}

// Take reports whether a request may be sent to an upstream. It may ask another host, and
// blocks for a bounded time. A grant that is not used must be given back.
func (l *Limits) Take(ctx context.Context, up *traffic.Upstream) bool {
	s := l.lookUp(up)
	if s == nil || s.takeReady(time.Now()) {
		return true
	}
	// A caller that leaves must not be taken for a granting host that does not answer.
	return s.beginAsking(time.Now()) && l.askFor(context.WithoutCancel(ctx), s)
}

// beginAsking reports whether the granting host may be asked now. If so, askFor must be
// called.
func (s *state) beginAsking(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 || s.rests(now) || s.asking || now.Before(s.deniedUntil) || now.Before(s.unusedUntil) {
		return false
	}
	s.asking = true
	return true
}

// askFor asks for one request to a process and reports whether it is granted.
func (l *Limits) askFor(ctx context.Context, s *state) bool {
	l.cfg.Counters.Int(defAsked).Add(1)
	reply := l.ask(ctx, s, false)
	if !reply.Granted {
		l.cfg.Counters.Int(defDenied).Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	if reply.Granted {
		s.beginFirst(time.Now())
	} else {
		wait := time.Duration((1 - waitJitter*rand.Float64()) * float64(min(reply.Wait, longestWait)))
		s.deniedUntil = time.Now().Add(wait)
	}
	return reply.Granted
}

func (s *state) limit(now time.Time) ports.RateLimit {
	return ports.RateLimit{Rate: s.rate, Age: now.Sub(s.statedAt)}
}

// ask asks the granting host of a process, which may be this one, and takes over the limit
// that it knows.
func (l *Limits) ask(ctx context.Context, s *state, reportOnly bool) ports.RateReply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.mu.Lock()
	req := ports.RateRequest{From: l.cfg.Self, Process: s.process, Limit: s.limit(time.Now()), ReportOnly: reportOnly}
	s.mu.Unlock()
	host := l.cfg.GrantingHost(s.process)
	var peer ports.RatePeer = l
	if host != l.cfg.Self {
		peer = l.cfg.Peer(host)
	}
	reply, err := peer.Grant(ctx, req)
	if err != nil {
		klog.InfoS("granting host of an upstream with a rate limit not reached", "process", s.process, "host", host, "err", err)
		return ports.RateReply{Wait: askRetryDelay}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.setStatedRate(s, reply.Limit, time.Now())
	return reply
}

// GiveBack keeps a grant that was not used for the next request.
func (l *Limits) GiveBack(up *traffic.Upstream) {
	if s := l.lookUp(up); s != nil {
		s.keepGrant(time.Now())
	}
}

func (s *state) keepGrant(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 {
		s.unusedUntil = now.Add(unusedGrantTTL)
	}
	if now.Before(s.firstUntil) {
		s.untried, s.firstUntil = true, time.Time{}
	}
}

// Grant implements ports.RatePeer. A host that is not the granting one in its own view
// grants nothing, so that two hosts do not grant the same tokens.
func (l *Limits) Grant(_ context.Context, req ports.RateRequest) (ports.RateReply, error) {
	now := time.Now()
	s := l.state(req.Process)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
	l.setStatedRate(s, req.Limit, now)
	reply := ports.RateReply{Limit: s.limit(now)}
	switch {
	case req.ReportOnly:
	case s.rate == 0:
		reply.Granted = true
	case l.cfg.GrantingHost(req.Process) != l.cfg.Self:
		reply.Wait = askRetryDelay
	default:
		reply.Granted, reply.Wait = s.bucket.take(req.From, s.rate, now)
	}
	return reply, nil
}

// enqueue lets Run ask the granting host of a process for a request, or only report the
// limit.
func (l *Limits) enqueue(process domain.UpstreamID, ask bool) {
	l.mu.Lock()
	l.pending[process] = l.pending[process] || ask
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run asks for grants that are needed soon, reports changes of limits that this host
// observed, and removes the state of processes that are no longer called, until the context
// ends. It always returns nil.
func (l *Limits) Run(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			for process, ask := range l.takePending() {
				asking.Go(func() { l.askPending(ctx, l.state(process), ask) })
			}
		case <-ticker.C:
			l.removeUnused(time.Now())
		}
	}
}

func (l *Limits) takePending() map[domain.UpstreamID]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.pending
	l.pending = make(map[domain.UpstreamID]bool)
	return pending
}

func (l *Limits) askPending(ctx context.Context, s *state, ask bool) {
	if !ask {
		l.ask(ctx, s, true)
		return
	}
	if l.askFor(ctx, s) {
		s.keepGrant(time.Now())
	}
}

func (l *Limits) removeUnused(now time.Time) {
	for _, s := range l.states.Values() {
		s.mu.Lock()
		unused := now.Sub(s.lastUsed) > stateTTL && now.After(s.restUntil)
		s.mu.Unlock()
		if unused {
			l.states.Delete(s.process)
			l.known.Add(-1)
		}
	}
}

// lookUp returns the state of an upstream's process, or nil if it has none.
func (l *Limits) lookUp(up *traffic.Upstream) *state {
	if l.known.Load() == 0 {
		return nil
	}
	s, _ := l.states.Load(processOf(up))
	return s
}

// state returns the state of a process, and creates it if there is none.
func (l *Limits) state(process domain.UpstreamID) *state {
	var found *state
	l.states.Update(process, func(s *state, ok bool) (*state, bool) {
		if !ok {
			s = &state{process: process, lastUsed: time.Now()}
			l.known.Add(1)
		}
		found = s
		return s, true
	})
	return found
}
