package routing

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/internal/shard"
	"greengagespoke/relay"
	"greengagespoke/retry"
)

var (
	counterAccepted   = counters.Define("routing_requests_accepted_total", "Model requests accepted from callers.")
	counterAnswered   = counters.Define("routing_requests_answered_total", "Model requests answered in full.")
	counterRefused    = counters.Define("routing_requests_refused_total", "Model requests refused or ended without a whole answer.")
	counterCallerGone = counters.Define("routing_callers_gone_total", "Model requests whose caller went before the answer was whole.")
	counterRetries    = counters.Define("routing_retries_total", "Attempts after the first one of a model request.")
	counterResumes    = counters.Define("routing_stream_resumes_total", "Decode streams that were resumed at the same upstream.")
	counterStalls     = counters.Define("routing_transfer_stalls_total", "KV cache transfers that stalled.")
	counterExpired    = counters.Define("routing_prefill_expired_total", "Prefill results that expired before their transfer.")
	counterCancels    = counters.Define("routing_cancels_sent_total", "Cancel calls sent to engines.")
	counterSuperseded = counters.Define("routing_superseded_total", "Requests ended because the caller sent them again.")
	counterRelayed    = counters.Define("routing_cancels_relayed_total", "Cancel calls sent to engines for hosts that could not reach them.")
	counterCrashes    = counters.Define("routing_upstream_crashes_total", "Decode streams lost because the upstream died.")
)

type gateCounters struct {
	accepted, answered, refused, callerGone   *expvar.Int
	retries, resumes, stalls, expired         *expvar.Int
	cancels, relayed, superseded, crashes     *expvar.Int
	serviceCalls, serviceRetries, serviceOnce *expvar.Int
}

// Gate runs the requests that one entry host accepted. It is safe for
// concurrent use.
type Gate struct {
	cfg    Config
	timing Timing
	count  gateCounters
	// cancels frees the memory of abandoned attempts.
	cancels *relay.Canceler

	flights *shard.Map[domain.RequestKey, *flight]
	held    *shard.Map[domain.GrantID, heldGrant]
	budgets *shard.Map[domain.RouteName, *retry.Budget]
	index   atomic.Pointer[groupIndex]
	waits   *shard.Map[domain.GroupID, time.Duration]

	// work counts requests in flight and cleanups, for Drain.
	work sync.WaitGroup
	// base is canceled by Close and bounds the cleanups.
	base      context.Context
	closeBase context.CancelFunc
}

// New returns a gate.
func New(cfg Config) *Gate {
	if cfg.Scope == "" {
		cfg.Scope = groups.ScopeRegion
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Int64N
	}
	base, closeBase := context.WithCancel(context.Background())
	set := cfg.Counters
	timing := cfg.Timing.withDefaults()
	return &Gate{
		cfg:    cfg,
		timing: timing,
		count: gateCounters{
			accepted:       set.Int(counterAccepted),
			answered:       set.Int(counterAnswered),
			refused:        set.Int(counterRefused),
			callerGone:     set.Int(counterCallerGone),
			retries:        set.Int(counterRetries),
			resumes:        set.Int(counterResumes),
			stalls:         set.Int(counterStalls),
			expired:        set.Int(counterExpired),
			cancels:        set.Int(counterCancels),
			relayed:        set.Int(counterRelayed),
			superseded:     set.Int(counterSuperseded),
			crashes:        set.Int(counterCrashes),
			serviceCalls:   set.Int(counterServiceCalls),
			serviceRetries: set.Int(counterServiceRetries),
			serviceOnce:    set.Int(counterServiceOnce),
		},
		cancels: relay.New(relay.Config{
			Upstreams:  cfg.Upstreams,
			Membership: cfg.Membership,
			Peers:      cfg.Peers,
			Timeout:    timing.Cancel,
			Counters:   set,
		}),
		flights:   shard.NewMap[domain.RequestKey, *flight](),
		held:      shard.NewMap[domain.GrantID, heldGrant](),
		budgets:   shard.NewMap[domain.RouteName, *retry.Budget](),
		waits:     shard.NewMap[domain.GroupID, time.Duration](),
		base:      base,
		closeBase: closeBase,
	}
}

// DeliverFunc hands one frame to the caller. Frames come in order and each once.
// An error means that the caller has gone.
type DeliverFunc func(domain.Frame) error

// Complete runs a model request and delivers its answer. It returns nil once
// the whole answer has been delivered, else a *domain.Refusal. Engine memory of
// a request that ended early is freed in the background.
func (g *Gate) Complete(ctx context.Context, c *domain.Completion, deliver DeliverFunc) error {
	g.work.Add(1)
	defer g.work.Done()
	g.count.accepted.Add(1)
	err := g.complete(ctx, c, deliver)
	g.countOutcome(err)
	return err
}

func (g *Gate) complete(ctx context.Context, c *domain.Completion, deliver DeliverFunc) error {
	f, err := g.newFlight(c, deliver)
	if err != nil {
		return truthful(c, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.cancel = cancel
	if err := g.register(f); err != nil {
		return truthful(c, err)
	}
	defer g.unregister(f)
	if timeout := f.route.Timeout.D(); timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeoutCause(ctx, timeout, errDeadline)
		defer stop()
	}
	return f.run(ctx)
}

// truthful corrects what a refusal given at once says of the request: an earlier
// send of it may have run.
func truthful(c *domain.Completion, err error) error {
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		return err
	}
	if c.Attempt > 1 || refusal.Kind == domain.RefusalDuplicate {
		return refusal.WithRan(domain.RanUnknown)
	}
	return refusal
}

func (g *Gate) countOutcome(err error) {
	if err == nil {
		g.count.answered.Add(1)
		return
	}
	refusal, _ := domain.AsRefusal(err)
	switch {
	case refusal != nil && refusal.Kind == domain.RefusalCanceled:
		g.count.callerGone.Add(1)
	case refusal != nil && refusal.Kind == domain.RefusalSuperseded:
		g.count.superseded.Add(1)
	default:
		g.count.refused.Add(1)
	}
}

// newFlight resolves the route and pool of a request and checks it.
func (g *Gate) newFlight(c *domain.Completion, deliver DeliverFunc) (*flight, error) {
	route, ok := g.cfg.Tables.RouteForModel(c.Model)
	if !ok {
		return nil, domain.Refuse(domain.RefusalNoRoute, "no route serves model "+c.Model,
			"ask for a model of the routes table, or add a route for it")
	}
	if _, ok := g.cfg.Tables.Pool(route.Pool); !ok {
		return nil, domain.Refuse(domain.RefusalNoUpstream, "pool "+string(route.Pool)+" is not in force on this host",
			"retry later; if it lasts, the operator checks the pools table").After(time.Second)
	}
	if c.MaxTokens <= 0 || c.MaxTokens > route.MaxOutputTokens {
		c.MaxTokens = route.MaxOutputTokens
	}
	fingerprint := fingerprintOf(c)
	if refusal := g.cfg.Quarantine.Check(fingerprint); refusal != nil {
		return nil, refusal
	}
	f := &flight{
		gate:        g,
		c:           c,
		route:       route,
		fingerprint: fingerprint,
		pieceKeys:   domain.PieceKeys(c.Model, c.Prompt),
		deliver:     deliver,
		accepted:    time.Now(),
		sequence:    newSequencer(c.DeliveredTokens),
		ended:       make(chan struct{}),
	}
	f.text.WriteString(c.Delivered)
	return f, nil
}

// fingerprintOf identifies the content of a request, whoever sends it.
func fingerprintOf(c *domain.Completion) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.Prompt)
	return d.Sum64()
}

// register makes the flight known under its request key. An older attempt on
// this host is ended first.
func (g *Gate) register(f *flight) error {
	for {
		var other *flight
		g.flights.Update(f.c.Key(), func(old *flight, ok bool) (*flight, bool) {
			if ok {
				other = old
				return old, true
			}
			return f, true
		})
		if other == nil {
			return nil
		}
		if other.c.Attempt >= f.c.Attempt {
			return domain.Refuse(domain.RefusalDuplicate, "this request is already running on this host",
				"wait for its answer, or send it again with a larger attempt number")
		}
		other.cancel(errSuperseded)
		<-other.ended
	}
}

func (g *Gate) unregister(f *flight) {
	g.flights.Delete(f.c.Key())
	close(f.ended)
}

// Supersede implements ports.GatePeer. It returns after the earlier attempt
// has stopped delivering.
func (g *Gate) Supersede(ctx context.Context, key domain.RequestKey, attempt int) (bool, error) {
	f, ok := g.flights.Load(key)
	if !ok || f.attemptNumber() >= attempt {
		return false, nil
	}
	f.cancel(errSuperseded)
	select {
	case <-f.ended:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// InFlight returns the number of model requests that are running.
func (g *Gate) InFlight() int { return g.flights.Len() }

// Run renews the grants that the gate holds until ctx is done.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.timing.Renew)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.renewAll(ctx)
		}
	}
}

// Drain waits until all requests have ended and their engine memory is freed.
func (g *Gate) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the cleanups that still run. Requests end with their own contexts.
func (g *Gate) Close() { g.closeBase() }

// budget returns the retry budget of a route.
func (g *Gate) budget(name domain.RouteName) *retry.Budget {
	var b *retry.Budget
	g.budgets.Update(name, func(old *retry.Budget, ok bool) (*retry.Budget, bool) {
		if !ok {
			old = new(retry.Budget)
		}
		b = old
		return old, true
	})
	return b
}

// The causes for which a flight's context is canceled by the gate itself.
var (
	errSuperseded = errors.New("superseded by a newer attempt")
	errDeadline   = errors.New("route timeout reached")
	errGrantLost  = errors.New("grant lost")
)
