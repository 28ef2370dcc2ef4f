package routing

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

var (
	counterServiceCalls   = counters.Define("routing_service_calls_total", "Calls to plain services accepted from callers.")
	counterServiceRetries = counters.Define("routing_service_retries_total", "Retries of idempotent service calls after a failure.")
	counterServiceOnce    = counters.Define("routing_service_once_total", "Non-idempotent service calls sent at most once.")
)

// maxServiceAttempts limits the attempts of one idempotent service call.
const maxServiceAttempts = 3

// ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Caller domain.CallerID
	// IdempotencyKey is the key that the caller sent, or empty.
	IdempotencyKey string
	// Attempt is 1 for the first send and larger for a resend with the same
	// key.
	Attempt int
	Request ports.ServiceRequest
}

// CallService sends a call to an upstream of the route that matches its path.
// Calls that the route lists as non-idempotent run at most once. Other calls
// are retried, if possible on another upstream, within the retry budget of the
// route. The returned error is always a *domain.Refusal.
func (g *Gate) CallService(ctx context.Context, call ServiceCall) (ports.ServiceResponse, error) {
	g.wg.Add(1)
	defer g.wg.Done()
	g.counters.serviceCalls.Add(1)
	route, ok := g.cfg.Tables.RouteForPath(call.Request.Path)
	if !ok {
		return ports.ServiceResponse{}, domain.Refuse(domain.RefusalNoRoute, "no route matches path "+call.Request.Path,
			"check the path, or add a route with its prefix")
	}
	fingerprint := serviceFingerprint(call)
	if refusal := g.cfg.Quarantine.Check(fingerprint); refusal != nil {
		if call.Attempt > 1 {
			// An earlier attempt may have run.
			refusal = refusal.WithRan(domain.RanUnknown)
		}
		return ports.ServiceResponse{}, refusal
	}
	if timeout := route.Timeout.D(); timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, timeout)
		defer stop()
	}
	if isNonIdempotent(route, call.Request) {
		g.counters.serviceOnce.Add(1)
		return g.callOnce(ctx, route, call, fingerprint)
	}
	return g.callIdempotent(ctx, route, call, fingerprint)
}

// serviceFingerprint returns a hash of the caller and the call. It is the same each time
// that the caller repeats the call, with or without an idempotency key.
func serviceFingerprint(call ServiceCall) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(call.Caller))
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, callDigest(call.Request)))
	return d.Sum64()
}

// callUpstream sends a call to an upstream. If the upstream crashed with it, the call gets
// a strike; if it completed, it is cleared.
func (g *Gate) callUpstream(ctx context.Context, up domain.Upstream, req ports.ServiceRequest, fingerprint uint64) (ports.ServiceResponse, error) {
	service := g.cfg.Upstreams.Service(up)
	resp, err := service.Call(ctx, req)
	if err == nil {
		g.cfg.Quarantine.Clear(fingerprint)
		return resp, nil
	}
	var failed *ports.ServiceError
	if !errors.As(err, &failed) || !failed.Lost || g.cfg.Leaving.Leaving(up.ID) {
		return resp, err
	}
	listening, unknown := service.Listening(context.WithoutCancel(ctx))
	klog.InfoS("service call lost", "upstream", up.ID, "fingerprint", fingerprint, "listening", listening, "unknown", unknown)
	if !listening && unknown == nil {
		g.counters.crashes.Add(1)
		g.cfg.Quarantine.RecordCrash(up.ID, []uint64{fingerprint})
	}
	return resp, err
}

// isNonIdempotent reports whether the route lists the call as one that must
// run at most once.
func isNonIdempotent(route domain.Route, req ports.ServiceRequest) bool {
	for _, pattern := range route.NonIdempotent {
		method, path, _ := strings.Cut(pattern, " ")
		if method != req.Method {
			continue
		}
		if prefix, ok := strings.CutSuffix(path, "*"); ok && strings.HasPrefix(req.Path, prefix) {
			return true
		}
		if path == req.Path {
			return true
		}
	}
	return false
}

// callOnce sends a non-idempotent call. With an idempotency key, the call is
// executed under a claim. Without one, it is sent once and never retried.
func (g *Gate) callOnce(ctx context.Context, route domain.Route, call ServiceCall, fingerprint uint64) (ports.ServiceResponse, error) {
	send := func(ctx context.Context) (ports.ServiceResponse, error) {
		up, ok := g.pickServiceUpstream(route.Pool, nil)
		if !ok {
			return ports.ServiceResponse{}, noUpstreamRefusal(route.Pool)
		}
		return g.callUpstream(ctx, up, call.Request, fingerprint)
	}
	var resp ports.ServiceResponse
	var err error
	if call.IdempotencyKey == "" {
		resp, err = send(ctx)
	} else {
		resp, err = g.cfg.Claims.Execute(ctx, claims.Call{
			Caller:  call.Caller,
			Key:     call.IdempotencyKey,
			Digest:  callDigest(call.Request),
			Attempt: call.Attempt,
		}, send)
	}
	if err != nil {
		return resp, serviceRefusal(route.Pool, err)
	}
	return resp, nil
}

// noUpstreamRefusal returns the refusal for a call that no upstream can take.
func noUpstreamRefusal(pool domain.PoolName) *domain.Refusal {
	return domain.Refuse(domain.RefusalNoUpstream, "no upstream of pool "+string(pool)+" is in service",
		"retry later").WithRetryAfter(time.Second)
}

// callDigest returns a hash of the method, path, query and body of a call.
func callDigest(req ports.ServiceRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(req.Path)
	_, _ = d.WriteString("?")
	_, _ = d.WriteString(req.Query)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// callIdempotent sends a call and retries it on failure.
func (g *Gate) callIdempotent(ctx context.Context, route domain.Route, call ServiceCall, fingerprint uint64) (ports.ServiceResponse, error) {
	var avoid []domain.UpstreamID
	for attempt := 1; ; attempt++ {
		up, ok := g.pickServiceUpstream(route.Pool, avoid)
		if !ok {
			return ports.ServiceResponse{}, noUpstreamRefusal(route.Pool)
		}
		resp, err := g.callUpstream(ctx, up, call.Request, fingerprint)
		if err == nil {
			g.retryBudget(route.Name).Success(route.RetryPercent)
			return resp, nil
		}
		if refusal := g.cfg.Quarantine.Check(fingerprint); refusal != nil {
			return resp, refusal.WithRan(domain.RanUnknown)
		}
		if ctx.Err() != nil || attempt >= maxServiceAttempts || !g.retryBudget(route.Name).Take() {
			return resp, serviceRefusal(route.Pool, err)
		}
		g.counters.serviceRetries.Add(1)
		avoid = append(avoid, up.ID)
	}
}

// pickServiceUpstream picks a random upstream of a service pool that is not
// leaving. Upstreams outside avoid are preferred, and among these the ones in
// the availability zone of this host.
func (g *Gate) pickServiceUpstream(name domain.PoolName, avoid []domain.UpstreamID) (domain.Upstream, bool) {
	pool, ok := g.cfg.Tables.Pool(name)
	if !ok {
		return domain.Upstream{}, false
	}
	candidates := filterUpstreams(pool.Upstreams, func(up domain.Upstream) bool { return !g.cfg.Leaving.Leaving(up.ID) })
	candidates = preferUpstreams(candidates, func(up domain.Upstream) bool { return !slices.Contains(avoid, up.ID) })
	zone := g.cfg.Membership.Self().Zone
	candidates = preferUpstreams(candidates, func(up domain.Upstream) bool { return up.Zone == zone })
	if len(candidates) == 0 {
		return domain.Upstream{}, false
	}
	return candidates[g.cfg.Rand(int64(len(candidates)))], true
}

func filterUpstreams(ups []domain.Upstream, keep func(domain.Upstream) bool) []domain.Upstream {
	var out []domain.Upstream
	for _, up := range ups {
		if keep(up) {
			out = append(out, up)
		}
	}
	return out
}

// preferUpstreams returns the upstreams for which keep is true, or all of them
// if there are none.
func preferUpstreams(ups []domain.Upstream, keep func(domain.Upstream) bool) []domain.Upstream {
	if preferred := filterUpstreams(ups, keep); len(preferred) > 0 {
		return preferred
	}
	return ups
}

// serviceRefusal converts the error of a call to a refusal that reports
// correctly whether the call may have run. The text of the error is not passed
// to the caller, as it contains the address of the upstream.
func serviceRefusal(pool domain.PoolName, err error) error {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	var serviceErr *ports.ServiceError
	if errors.As(err, &serviceErr) && !serviceErr.Sent {
		return noUpstreamRefusal(pool)
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, "the answer of an upstream of pool "+string(pool)+" was lost",
		"the call may have run; look at its effect before sending it again").WithRan(domain.RanUnknown)
}
