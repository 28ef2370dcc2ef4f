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
	counterAccepted           = counters.Define("routing_requests_accepted_total", "Model requests accepted from callers.")
	counterAnswered           = counters.Define("routing_requests_answered_total", "Model requests whose complete response was delivered.")
	counterRefused            = counters.Define("routing_requests_refused_total", "Model requests that were rejected or ended without a complete response.")
	counterCallerDisconnected = counters.Define("routing_callers_gone_total", "Model requests whose caller disconnected before the complete response was delivered.")
	counterRetries            = counters.Define("routing_retries_total", "Attempts after the first one of a model request.")
	counterResumes            = counters.Define("routing_stream_resumes_total", "Decode streams that were resumed on the same upstream.")
	counterStalls             = counters.Define("routing_transfer_stalls_total", "KV cache transfers that stalled.")
	counterExpired            = counters.Define("routing_prefill_expired_total", "Prefill results that expired before their transfer.")
	counterCancels            = counters.Define("routing_cancels_sent_total", "Cancel calls sent to engines.")
	counterSuperseded         = counters.Define("routing_superseded_total", "Model requests that ended because the caller resent them.")
	counterRelayed            = counters.Define("routing_cancels_relayed_total", "Cancel calls sent to engines on behalf of hosts that could not reach them.")
	counterCrashes            = counters.Define("routing_upstream_crashes_total", "Decode streams lost because the upstream crashed.")
)

type gateCounters struct {
	accepted, answered, refused, callerDisconnected *expvar.Int
	retries, resumes, stalls, expired               *expvar.Int
	cancels, relayed, superseded, crashes           *expvar.Int
	serviceCalls, serviceRetries, serviceOnce       *expvar.Int
}

// Gate processes the requests that one entry host accepted. It is safe for
// concurrent use.
type Gate struct {
	cfg      Config
	timing   Timing
	counters gateCounters
	// canceler cancels abandoned attempts at engines to free their memory.
	canceler *relay.Canceler

	// requests holds the model requests in flight.
	requests *shard.Map[domain.RequestKey, *modelRequest]
	// heldGrants holds the grants to renew.
	heldGrants   *shard.Map[domain.GrantID, heldGrant]
	retryBudgets *shard.Map[domain.RouteName, *retry.Budget]
	groupIndex   atomic.Pointer[groupIndex]
	// acquireWaits holds the duration of the last successful acquire of each
	// group.
	acquireWaits *shard.Map[domain.GroupID, time.Duration]

	// wg counts requests in flight and background tasks. Drain waits for it.
	wg sync.WaitGroup
	// baseCtx is the context of background tasks. Close cancels it.
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// New returns a Gate. Run must be called to renew its grants, and Close to
// stop its background tasks.
func New(cfg Config) *Gate {
	if cfg.Scope == "" {
		cfg.Scope = groups.ScopeRegion
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Int64N
	}
	baseCtx, cancelBase := context.WithCancel(context.Background())
	set := cfg.Counters
	timing := cfg.Timing.withDefaults()
	return &Gate{
		cfg:    cfg,
		timing: timing,
		counters: gateCounters{
			accepted:           set.Int(counterAccepted),
			answered:           set.Int(counterAnswered),
			refused:            set.Int(counterRefused),
			callerDisconnected: set.Int(counterCallerDisconnected),
			retries:            set.Int(counterRetries),
			resumes:            set.Int(counterResumes),
			stalls:             set.Int(counterStalls),
			expired:            set.Int(counterExpired),
			cancels:            set.Int(counterCancels),
			relayed:            set.Int(counterRelayed),
			superseded:         set.Int(counterSuperseded),
			crashes:            set.Int(counterCrashes),
			serviceCalls:       set.Int(counterServiceCalls),
			serviceRetries:     set.Int(counterServiceRetries),
			serviceOnce:        set.Int(counterServiceOnce),
		},
		canceler: relay.New(relay.Config{
			Upstreams:  cfg.Upstreams,
			Membership: cfg.Membership,
			Peers:      cfg.Peers,
			Timeout:    timing.CancelTimeout,
			Counters:   set,
		}),
		requests:     shard.NewMap[domain.RequestKey, *modelRequest](),
		heldGrants:   shard.NewMap[domain.GrantID, heldGrant](),
		retryBudgets: shard.NewMap[domain.RouteName, *retry.Budget](),
		acquireWaits: shard.NewMap[domain.GroupID, time.Duration](),
		baseCtx:      baseCtx,
		cancelBase:   cancelBase,
	}
}

// DeliverFunc delivers one frame to the caller. Frames are passed in order and
// without duplicates. An error means that the caller has disconnected.
type DeliverFunc func(domain.Frame) error

// Complete processes a model request and delivers its response. It returns nil
// once the complete response has been delivered, and a *domain.Refusal
// otherwise. If a request ends early, the memory that it holds on engines is
// freed in the background.
func (g *Gate) Complete(ctx context.Context, c *domain.Completion, deliver DeliverFunc) error {
	g.wg.Add(1)
	defer g.wg.Done()
	g.counters.accepted.Add(1)
	err := g.complete(ctx, c, deliver)
	g.countOutcome(err)
	return err
}

func (g *Gate) complete(ctx context.Context, c *domain.Completion, deliver DeliverFunc) error {
	r, err := g.newModelRequest(c, deliver)
	if err != nil {
		return correctRan(c, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel = cancel
	if err := g.register(r); err != nil {
		return correctRan(c, err)
	}
	defer g.unregister(r)
	if timeout := r.route.Timeout.D(); timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeoutCause(ctx, timeout, errDeadline)
		defer stop()
	}
	return r.run(ctx)
}

// correctRan sets Ran in a refusal that was made before the first attempt. An
// earlier attempt of the caller, or the running request that this one
// duplicates, may have run.
func correctRan(c *domain.Completion, err error) error {
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
		g.counters.answered.Add(1)
		return
	}
	refusal, _ := domain.AsRefusal(err)
	switch {
	case refusal != nil && refusal.Kind == domain.RefusalCanceled:
		g.counters.callerDisconnected.Add(1)
	case refusal != nil && refusal.Kind == domain.RefusalSuperseded:
		g.counters.superseded.Add(1)
	default:
		g.counters.refused.Add(1)
	}
}

// newModelRequest looks up the route and pool of a request and validates it.
// It limits MaxTokens of the request to that of the route.
func (g *Gate) newModelRequest(c *domain.Completion, deliver DeliverFunc) (*modelRequest, error) {
	route, ok := g.cfg.Tables.RouteForModel(c.Model)
	if !ok {
		return nil, domain.Refuse(domain.RefusalNoRoute, "no route serves model "+c.Model,
			"ask for a model of the routes table, or add a route for it")
	}
	if _, ok := g.cfg.Tables.Pool(route.Pool); !ok {
		return nil, domain.Refuse(domain.RefusalNoUpstream, "pool "+string(route.Pool)+" is not in force on this host",
			"retry later; if it lasts, the operator checks the pools table").WithRetryAfter(time.Second)
	}
	if c.MaxTokens <= 0 || c.MaxTokens > route.MaxOutputTokens {
		c.MaxTokens = route.MaxOutputTokens
	}
	fingerprint := requestFingerprint(c)
	if refusal := g.cfg.Quarantine.Check(fingerprint); refusal != nil {
		return nil, refusal
	}
	r := &modelRequest{
		gate:        g,
		completion:  c,
		route:       route,
		fingerprint: fingerprint,
		pieceKeys:   domain.PieceKeys(c.Model, c.Prompt),
		deliver:     deliver,
		acceptedAt:  time.Now(),
		sequencer:   newSequencer(c.DeliveredTokens),
		done:        make(chan struct{}),
	}
	r.deliveredText.WriteString(c.Delivered)
	return r, nil
}

// requestFingerprint returns a hash of the model and prompt, which is the same
// for all callers.
func requestFingerprint(c *domain.Completion) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.Prompt)
	return d.Sum64()
}

// register adds the request under its key. It first ends an older attempt of
// the same request on this host, and rejects the request if the running
// attempt is not older.
func (g *Gate) register(r *modelRequest) error {
	for {
		var other *modelRequest
		g.requests.Update(r.completion.Key(), func(old *modelRequest, ok bool) (*modelRequest, bool) {
			if ok {
				other = old
				return old, true
			}
			return r, true
		})
		if other == nil {
			return nil
		}
		if other.completion.Attempt >= r.completion.Attempt {
			return domain.Refuse(domain.RefusalDuplicate, "this request is already running on this host",
				"wait for its answer, or send it again with a larger attempt number")
		}
		other.cancel(errSuperseded)
		<-other.done
	}
}

func (g *Gate) unregister(r *modelRequest) {
	g.requests.Delete(r.completion.Key())
	close(r.done)
}

// Supersede implements ports.GatePeer. It returns after the earlier attempt
// has stopped delivering frames.
func (g *Gate) Supersede(ctx context.Context, key domain.RequestKey, attempt int) (bool, error) {
	r, ok := g.requests.Load(key)
	if !ok || r.attemptNumber() >= attempt {
		return false, nil
	}
	r.cancel(errSuperseded)
	select {
	case <-r.done:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// InFlight returns the number of model requests in flight.
func (g *Gate) InFlight() int { return g.requests.Len() }

// Run renews the held grants until ctx is done.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.timing.RenewInterval)
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

// Drain waits until all requests and background tasks have ended. The tasks
// free the memory that requests held on engines. If ctx is done first, Drain
// returns its error.
func (g *Gate) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels background tasks that are still running. It does not affect
// requests, which end with their own contexts.
func (g *Gate) Close() { g.cancelBase() }

// retryBudget returns the retry budget of a route.
func (g *Gate) retryBudget(name domain.RouteName) *retry.Budget {
	var b *retry.Budget
	g.retryBudgets.Update(name, func(old *retry.Budget, ok bool) (*retry.Budget, bool) {
		if !ok {
			old = new(retry.Budget)
		}
		b = old
		return old, true
	})
	return b
}

// Causes with which the gate cancels the context of a request.
var (
	errSuperseded = errors.New("superseded by a newer attempt")
	errDeadline   = errors.New("route timeout reached")
	errGrantLost  = errors.New("grant lost")
)
