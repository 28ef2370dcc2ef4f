package dispatch

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/catalog"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/shard"
	"greengagespoke/origins"
	"greengagespoke/promptcache"
	"greengagespoke/quarantine"
	"greengagespoke/quota"
	"greengagespoke/ratelimit"
	"greengagespoke/reach"
	"greengagespoke/stages"
	"greengagespoke/traffic"
	"greengagespoke/urgency"
)

const (
	// noConfigRetryAfter is the retry delay that a host without a configuration
	// reports: about the time to fetch one from the store.
	noConfigRetryAfter = 500 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay for a service without upstreams.
	noUpstreamRetryAfter = time.Second
	// leavingRetryAfter is the retry delay that a stopping host reports. It is short
	// because the caller should try another host at once.
	leavingRetryAfter = 50 * time.Millisecond
)

// Config holds the dependencies of a Gate.
type Config struct {
	// Zone is this host's availability zone.
	Zone      domain.Zone
	Catalog   *catalog.Catalog
	Upstreams traffic.Upstreams
	Budget    *Budget
	Counters  *counters.Set
	// Loads records the load that requests put on their engines.
	Loads *stages.Loads
	// Quarantine holds the requests that crash upstreams.
	Quarantine *quarantine.List
	// RateLimits holds the rate limits that upstreams state.
	RateLimits *ratelimit.Limits
	// Reach knows which services this host reaches, Hops passes requests on to hosts that do.
	Reach *reach.Monitor
	Hops  traffic.Hops
	// Origins knows which software version began each stream.
	Origins *origins.Origins
	// Quotas charges requests to the quotas of their customers. If it is nil, none is charged.
	Quotas *quota.Quotas
	// Decides reports whether this host, and no other one, runs a request of which it is
	// undecided whether it caused three crashes.
	Decides func(fingerprint uint64) bool
	// Rejecting reports whether the host rejects new requests because it is stopping.
	Rejecting func() bool
	// Stopping returns the state of a planned stop, or false while there is none. It may be nil.
	Stopping func() (Stop, bool)
}

// Gate dispatches callers' requests to upstreams. It is safe for concurrent use.
type Gate struct {
	cfg             Config
	stats           statsMap
	slots           *slotReserver
	prefillSelector *prefillSelector
	prompts         heldPrompts
	isolator        isolator
	pace            *pace
	urgency         *urgencies
	// mixedVersions holds until when a service counts as one of several software versions.
	mixedVersions *shard.Map[traffic.ServiceName, time.Time]
	// spreads holds how much the streams of one engine differ, of each service.
	spreads *shard.Map[traffic.ServiceName, *spread]
	metrics metrics
	// hostEnds is done once the host ends, so that all requests in flight end.
	hostEnds context.Context
	endAll   context.CancelFunc
}

// NewGate returns a Gate that uses cfg.
func NewGate(cfg Config) *Gate {
	g := &Gate{cfg: cfg, stats: newStatsMap(), metrics: newMetrics(cfg.Counters), prefillSelector: newPrefillSelector(), isolator: newIsolator(), pace: newPace(), urgency: newUrgencies(cfg.Counters), mixedVersions: shard.NewMap[traffic.ServiceName, time.Time]()}
	g.slots = newSlotReserver(g)
	g.prompts = promptcache.New()
	g.spreads = shard.NewMap[traffic.ServiceName, *spread]()
	g.hostEnds, g.endAll = context.WithCancel(context.Background())
	return g
}

// inFlight is the state of one request in flight.
type inFlight struct {
	req     *traffic.Request
	route   *traffic.Route
	service traffic.ServiceName
	engine  *traffic.Engine
	// level is the urgency among the requests of the service.
	level urgency.Level
	// slotNeededSince is when the request began to need a slot on a decode engine:
	// when it arrived, or when its stream broke.
	slotNeededSince time.Time
	// answerDeadline is when the caller must have the response: the deadline of the
	// request or the timeout of the route, whichever is earlier.
	answerDeadline time.Time
	// config is the configuration that the route is from, configVersion its version.
	config        *traffic.Config
	configVersion domain.Revision
	// version is the software version that the stream is bound to. It is empty before the first
	// event, or if the version that began the stream is not known.
	version string
	bound   bool
	// parts are the shared parts of the prompt, empty for calls to plain services.
	parts []uint64
	attempts
	// tried holds the upstreams that this host tried, also if the request did not reach them.
	tried map[domain.UpstreamID]bool
	// sentAt is when the last call to an upstream began.
	sentAt time.Time
	// replaced holds the processes in whose place others were found. Their entries are out of
	// date.
	replaced map[traffic.Incarnation]bool
	// breaks counts the streams that broke at a process.
	breaks map[traffic.Incarnation]int
	// held is what was expected of the engines that were chosen last.
	held heldPrompt
	// eventsSent is the number of events that the caller got, lastEventAt when it got the last one.
	eventsSent  int
	lastEventAt time.Time
	// notRun says that the answer of another host, which the caller gets, promises that the request
	// did not run.
	notRun bool
}

// eventSent notes that the caller got an event.
func (f *inFlight) eventSent() { f.eventsSent, f.lastEventAt = f.eventsSent+1, time.Now() }

// silence returns the time since the caller got anything, or since the request arrived.
func (f *inFlight) silence() time.Duration {
	if f.eventsSent == 0 {
		return time.Since(f.req.Arrived)
	}
	return time.Since(f.lastEventAt)
}

// Serve handles a request and delivers the response or a refusal to caller. It
// returns when the request has ended. ctx must end when the caller disconnects.
func (g *Gate) Serve(ctx context.Context, req *traffic.Request, caller traffic.Caller) {
	config, route, customer := g.cfg.Catalog.Resolve(req)
	if refusal := g.admit(req, config, route, customer); refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	g.identify(req, config, customer)
	f := &inFlight{
		req: req, route: route, config: config, configVersion: config.Version, attempts: newAttempts(req, route),
		slotNeededSince: req.Arrived, answerDeadline: req.Deadline, tried: make(map[domain.UpstreamID]bool),
		replaced: make(map[traffic.Incarnation]bool), breaks: make(map[traffic.Incarnation]int),
	}
	if req.Hop != nil {
		caller = reportingCaller{caller, f}
	}
	if limit := req.Arrived.Add(route.Timeout); route.Timeout > 0 && limit.Before(f.answerDeadline) {
		f.answerDeadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, f.answerDeadline)
	defer cancel()
	defer context.AfterFunc(g.hostEnds, cancel)()
	if refusal := g.assignService(ctx, f); refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	f.engine = config.Services[f.service].Engine
	f.level = g.urgency.levelOf(f, config)
	if f.isGeneration() {
		f.parts = req.Parts
	}
	if refusal := g.quarantined(f); refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	if refusal := g.stopsTooSoon(f, false); refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	charged, endCharge, refusal := g.charge(ctx, f, caller)
	if refusal != nil {
		g.refuse(req, caller, refusal)
		return
	}
	defer endCharge()
	caller = charged
	if req.Hop != nil {
		klog.InfoS("request taken from another host", "request", req.ID, "counted", req.Hop.Counted, "granted", req.Hop.Grant != nil,
			"upstreams_used", f.used(), "upstreams_allowed", f.limit)
	}
	if g.isCutOff(f) {
		h := &hop{inFlight: f, caller: caller}
		if refusal := g.passOn(ctx, h); refusal != nil {
			g.end(f, caller, h.headSent, refusal)
		}
		return
	}
	if !f.counted {
		f.counted = true
		g.cfg.Budget.RecordRequest(f.service, req.Arrived)
	}
	if f.isGeneration() {
		g.serveGeneration(ctx, f, caller)
		return
	}
	g.servePlain(ctx, f, caller)
}

// isGeneration reports whether the request goes to model engines.
func (f *inFlight) isGeneration() bool { return f.route.Generation && f.engine != nil }

// quarantined returns the refusal of a request that crashes upstreams, or that has a part of
// a prompt that does, or nil.
func (g *Gate) quarantined(f *inFlight) *domain.Refusal {
	return g.cfg.Quarantine.Check(f.req.Fingerprint, f.parts...)
}

// admit returns why a request cannot be accepted, or nil if it can.
func (g *Gate) admit(req *traffic.Request, config *traffic.Config, route *traffic.Route, customer *traffic.Customer) *domain.Refusal {
	switch {
	case config == nil:
		return noConfigRefusal()
	case g.cfg.Rejecting():
		return leavingRefusal()
	}
	if refusal := declineHop(req, config, route, customer); refusal != nil {
		return refusal
	}
	if route == nil {
		return noRouteRefusal()
	}
	return g.checkKey(req, config, route, customer)
}

// end ends a request that is not answered: by a refusal, or by breaking off the stream whose
// head the caller has.
func (g *Gate) end(f *inFlight, caller traffic.Caller, headSent bool, refusal *domain.Refusal) {
	if !headSent {
		g.refuseAtLevel(f, caller, refusal)
		return
	}
	g.metrics.streamsBroken.Add(1)
	klog.InfoS("stream broken off", "request", f.req.ID, "events", f.eventsSent,
		"silent", f.silence().Round(time.Millisecond), "reason", refusal.Kind, "message", refusal.Message)
	caller.Abort()
}

// refuse counts and logs a refusal and sends it to the caller.
func (g *Gate) refuse(req *traffic.Request, caller traffic.Caller, refusal *domain.Refusal, details ...any) {
	g.noteRefused(req, refusal, details...)
	caller.Refuse(refusal)
}

func (g *Gate) noteRefused(req *traffic.Request, refusal *domain.Refusal, details ...any) {
	g.metrics.refused.Add(1)
	klog.InfoS("request refused", append([]any{
		"request", req.ID, "reason", refusal.Kind, "ran", refusal.Ran,
		"message", refusal.Message, "retry_after", refusal.RetryAfter, "held", time.Since(req.Arrived).Round(time.Millisecond),
		"version", g.cfg.Catalog.Version(),
	}, details...)...)
}

// timeLeft returns the time until the caller's deadline.
func (f *inFlight) timeLeft(now time.Time) time.Duration { return f.req.Deadline.Sub(now) }

// noRouteRefusal is the refusal of a request for which the configuration has no route.
func noRouteRefusal() *domain.Refusal {
	return domain.Refuse(domain.RefusalNoRoute, "no route has this host name and path", "check host name and path")
}

// noUpstreamRefusal is the refusal for a service without a usable upstream.
func noUpstreamRefusal(service traffic.ServiceName) *domain.Refusal {
	return domain.Refuse(domain.RefusalNoUpstream, "service "+string(service)+" has no upstream that takes work",
		"try again after the stated time").WithRetryAfter(noUpstreamRetryAfter)
}

// asCallError returns the CallError in err's chain. Any other error is wrapped with
// an unknown effect.
func asCallError(err error) *traffic.CallError {
	var call *traffic.CallError
	if errors.As(err, &call) {
		return call
	}
	return &traffic.CallError{Effect: traffic.EffectUnknown, Err: err}
}
