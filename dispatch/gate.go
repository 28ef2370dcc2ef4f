package dispatch

import (
	"context"
	"errors"
	"time"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/catalog"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/stages"
)

const (
	// unknownConfigRetry is when a host without a configuration may have one: about
	// the time to read it from the store.
	unknownConfigRetry = 500 * time.Millisecond
	// noUpstreamRetry is when a service without upstreams may have one again.
	noUpstreamRetry = time.Second
	// leavingRetry is when a caller should try another host: at once.
	leavingRetry = 50 * time.Millisecond
)

// Config holds what a gate works with.
type Config struct {
	// Zone is this host's availability zone.
	Zone      domain.Zone
	Catalog   *catalog.Catalog
	Upstreams traffic.Upstreams
	Budget    *Budget
	Counters  *counters.Set
	// Loads learns what requests need of their engines.
	Loads *stages.Loads
	// Leaving says that the host takes no new work.
	Leaving func() bool
}

// Gate decides what happens to requests. It is safe for concurrent use.
type Gate struct {
	cfg     Config
	tracks  tracks
	places  *places
	readers *readers
	counts  counts
}

// NewGate returns a gate.
func NewGate(cfg Config) *Gate {
	g := &Gate{cfg: cfg, tracks: newTracks(), counts: newCounts(cfg.Counters), readers: newReaders()}
	g.places = newPlaces(g)
	return g
}

// flight is one request on its way.
type flight struct {
	req     *traffic.Request
	route   *traffic.Route
	service traffic.ServiceName
	engine  *traffic.Engine
	// needed is since when the request needs a place on an engine: its arrival, or
	// when its stream broke.
	needed time.Time
	// final is when the caller must have an answer.
	final time.Time
	// version is the configuration's that chose the route.
	version domain.Revision
	// sent holds the upstreams that got the request, tried also those that it did
	// not reach.
	sent, tried map[domain.UpstreamID]bool
}

// Serve answers a request. The context ends when the caller leaves.
func (g *Gate) Serve(ctx context.Context, req *traffic.Request, caller traffic.Caller) {
	config, route := g.cfg.Catalog.Match(req.Host, req.Path)
	if refusal := g.admit(config, route); refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	f := &flight{
		req: req, route: route, service: chooseService(route), version: config.Version,
		needed: req.Arrived, final: req.Deadline, sent: make(map[domain.UpstreamID]bool), tried: make(map[domain.UpstreamID]bool),
	}
	if limit := req.Arrived.Add(route.Timeout); route.Timeout > 0 && limit.Before(f.final) {
		f.final = limit
	}
	f.engine = config.Services[f.service].Engine
	g.cfg.Budget.Request(f.service, req.Arrived)
	ctx, cancel := context.WithDeadline(ctx, f.final)
	defer cancel()
	if route.Generation && f.engine != nil {
		g.generate(ctx, f, caller)
		return
	}
	g.plain(ctx, f, caller)
}

// admit returns why a request cannot be taken, or nil.
func (g *Gate) admit(config *traffic.Config, route *traffic.Route) *domain.Refusal {
	switch {
	case config == nil:
		return domain.Refuse(domain.RefusalStoreDown, "this host knows no configuration yet",
			"try again after the stated time").After(unknownConfigRetry)
	case g.cfg.Leaving():
		return domain.Refuse(domain.RefusalLeaving, "this host is stopping",
			"ask for the addresses again and use another one").After(leavingRetry)
	case route == nil:
		return domain.Refuse(domain.RefusalNoRoute, "no route has this host name and path", "check host name and path")
	default:
		return nil
	}
}

// refuse sends a refusal and notes it.
func (g *Gate) refuse(req *traffic.Request, caller traffic.Caller, refusal *domain.Refusal) {
	g.counts.refused.Add(1)
	klog.InfoS("request refused", "request", req.ID, "reason", refusal.Kind, "ran", refusal.Ran,
		"message", refusal.Message, "retry_after", refusal.RetryAfter, "held", time.Since(req.Arrived).Round(time.Millisecond),
		"version", g.cfg.Catalog.Version())
	caller.Refuse(refusal)
}

// left returns the time until the caller gives up.
func (f *flight) left(now time.Time) time.Duration { return f.req.Deadline.Sub(now) }

// maySend reports whether the request may be sent to an upstream: to one that had
// it before, or to a further one within the route's limit.
func (f *flight) maySend(up *traffic.Upstream) bool {
	return f.sent[up.ID] || len(f.sent) < f.route.MaxAttempts
}

// noUpstream is the refusal where a service has no upstream.
func noUpstream(service traffic.ServiceName) *domain.Refusal {
	return domain.Refuse(domain.RefusalNoUpstream, "service "+string(service)+" has no upstream that takes work",
		"try again after the stated time").After(noUpstreamRetry)
}

// asCallError returns the typed error of a call.
func asCallError(err error) *traffic.CallError {
	var call *traffic.CallError
	if errors.As(err, &call) {
		return call
	}
	return &traffic.CallError{Effect: traffic.EffectUnknown, Err: err}
}
