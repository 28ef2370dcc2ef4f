package routing

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

var (
	counterServiceCalls   = counters.Define("routing_service_calls_total", "Calls to plain services accepted from callers.")
	counterServiceRetries = counters.Define("routing_service_retries_total", "Idempotent service calls sent again after a failure.")
	counterServiceOnce    = counters.Define("routing_service_once_total", "Non-idempotent service calls sent at most once.")
)

// maxServiceTries bounds the sends of one idempotent service call.
const maxServiceTries = 3

// ServiceCall is a call of a caller to a plain service.
type ServiceCall struct {
	Caller domain.CallerID
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Attempt is 1 for a first send and larger for a resend under the same key.
	Attempt int
	Request ports.ServiceRequest
}

// CallService sends a call to an upstream of the route that matches its path.
// Calls that the route lists as non-idempotent run at most once; others are
// retried on another upstream within the route's retry budget. Errors are
// *domain.Refusal.
func (g *Gate) CallService(ctx context.Context, call ServiceCall) (ports.ServiceResponse, error) {
	g.work.Add(1)
	defer g.work.Done()
	g.count.serviceCalls.Add(1)
	route, ok := g.cfg.Tables.RouteForPath(call.Request.Path)
	if !ok {
		return ports.ServiceResponse{}, domain.Refuse(domain.RefusalNoRoute, "no route matches path "+call.Request.Path,
			"check the path, or add a route with its prefix")
	}
	if timeout := route.Timeout.D(); timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, timeout)
		defer stop()
	}
	if nonIdempotent(route, call.Request) {
		g.count.serviceOnce.Add(1)
		return g.callOnce(ctx, route, call)
	}
	return g.callIdempotent(ctx, route, call)
}

// nonIdempotent reports whether the route lists the call as one that must run
// at most once.
func nonIdempotent(route domain.Route, req ports.ServiceRequest) bool {
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

// callOnce sends a non-idempotent call: under a claim where the caller gave a
// key, else once without any retry.
func (g *Gate) callOnce(ctx context.Context, route domain.Route, call ServiceCall) (ports.ServiceResponse, error) {
	send := func(ctx context.Context) (ports.ServiceResponse, error) {
		up, ok := g.pickService(route.Pool, nil)
		if !ok {
			return ports.ServiceResponse{}, noService(route.Pool)
		}
		return g.cfg.Upstreams.Service(up).Call(ctx, call.Request)
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

// noService refuses a call for which no upstream is left.
func noService(pool domain.PoolName) *domain.Refusal {
	return domain.Refuse(domain.RefusalNoUpstream, "no upstream of pool "+string(pool)+" is in service",
		"retry later").After(time.Second)
}

// callDigest covers the content of a call.
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

// callIdempotent sends a call that may be repeated.
func (g *Gate) callIdempotent(ctx context.Context, route domain.Route, call ServiceCall) (ports.ServiceResponse, error) {
	var avoid []domain.UpstreamID
	for try := 1; ; try++ {
		up, ok := g.pickService(route.Pool, avoid)
		if !ok {
			return ports.ServiceResponse{}, noService(route.Pool)
		}
		resp, err := g.cfg.Upstreams.Service(up).Call(ctx, call.Request)
		if err == nil {
			g.budget(route.Name).Success(route.RetryPercent)
			return resp, nil
		}
		if ctx.Err() != nil || try >= maxServiceTries || !g.budget(route.Name).Take() {
			return resp, serviceRefusal(route.Pool, err)
		}
		g.count.serviceRetries.Add(1)
		avoid = append(avoid, up.ID)
	}
}

// pickService picks an upstream of a service pool that is not leaving: at
// random, outside avoid where that leaves one, in the own availability zone
// where it has one.
func (g *Gate) pickService(name domain.PoolName, avoid []domain.UpstreamID) (domain.Upstream, bool) {
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

// preferUpstreams filters the upstreams, unless that would leave none.
func preferUpstreams(ups []domain.Upstream, keep func(domain.Upstream) bool) []domain.Upstream {
	if preferred := filterUpstreams(ups, keep); len(preferred) > 0 {
		return preferred
	}
	return ups
}

// serviceRefusal turns a failed call into a refusal that says truthfully
// whether the call ran. The failure's own text stays inside, as it names the
// upstream's address.
func serviceRefusal(pool domain.PoolName, err error) error {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	var failed *ports.ServiceError
	if errors.As(err, &failed) && !failed.Sent {
		return noService(pool)
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, "the answer of an upstream of pool "+string(pool)+" was lost",
		"the call may have run; look at its effect before sending it again").WithRan(domain.RanUnknown)
}
