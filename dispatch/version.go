package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/eventstream"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

// originMargin is how long after the deadline of its first request a stream may still be taken
// up, as callers count from an earlier moment than hosts.
const originMargin = 2 * time.Second

// severalVersionsTTL is how long after the last engine of an earlier software version its streams
// may still be taken up.
const severalVersionsTTL = 30 * time.Second

// assignService chooses the service of a request. A stream that its caller takes up goes on at
// the service and the software version that began it. If they are not known for certain, the
// request is refused, as what two versions write does not fit together.
func (g *Gate) assignService(ctx context.Context, f *inFlight) *domain.Refusal {
	if f.route.Kind != traffic.Streaming || f.req.LastEventID == "" {
		if !f.isGranted() {
			f.service = chooseService(f.route)
			return nil
		}
		if f.service = f.req.Hop.Grant.Service; !f.routeHasService() {
			return cutOffRefusal(f.service)
		}
		return nil
	}
	g.metrics.streamsTakenUp.Add(1)
	if !f.route.Resumable {
		return notResumableRefusal("streams of this route cannot be taken up")
	}
	if err := eventstream.CheckID(f.req.LastEventID); err != nil {
		return notResumableRefusal("the last event that the caller names is not one of a stream")
	}
	query := ports.OriginQuery{Request: f.req.Resumes, Fingerprint: f.req.CallerFingerprint}
	origin, known := g.cfg.Origins.Of(ctx, query)
	if !known {
		return notResumableRefusal("no host knows which software version began this stream")
	}
	f.service, f.version, f.bound = traffic.ServiceName(origin.Service), origin.Version, true
	if !f.routeHasService() {
		return notResumableRefusal("the service that began this stream no longer serves its route")
	}
	return g.versionGone(f)
}

// routeHasService reports whether the route sends requests to the request's service.
func (f *inFlight) routeHasService() bool {
	return slices.ContainsFunc(f.route.Shares, func(s traffic.Share) bool { return s.Service == f.service && s.Weight > 0 })
}

// notResumableRefusal is the refusal of a stream that cannot go on after its last event.
func notResumableRefusal(message string) *domain.Refusal {
	return domain.Refuse(domain.RefusalNotResumable, message,
		"send the request anew, without the last event; the events so far do not fit to the new ones").WithRetryAfter(noUpstreamRetryAfter)
}

// fits reports whether the request may go to an engine: a stream that has begun goes on only at
// its software version.
func (f *inFlight) fits(up *traffic.Upstream) bool {
	return !f.bound || f.version != "" && up.Version == f.version && up.StartedAtMillis != 0
}

// versionGone returns the refusal of a stream whose software version has no decode engine that
// takes work, or nil.
func (g *Gate) versionGone(f *inFlight) *domain.Refusal {
	if !f.bound || slices.ContainsFunc(g.cfg.Catalog.Ready(f.service), func(up *traffic.Upstream) bool {
		return up.Role == domain.RoleDecode && f.fits(up)
	}) {
		return nil
	}
	g.metrics.versionsGone.Add(1)
	if f.version == "" {
		return notResumableRefusal("the engine that began this stream does not tell its software version")
	}
	return notResumableRefusal("no engine of software version " + f.version + ", which began this stream, takes work")
}

// bindVersion binds a resumable stream to the software version of its first event, and lets
// other hosts know. If the caller has taken the stream up, it is bound already, and other hosts
// hear of its first request again, as those that kept the origin may be gone.
func (g *Gate) bindVersion(n *generation, stream traffic.Stream) {
	if n.originSent || !n.route.Resumable {
		return
	}
	n.originSent = true
	request := n.req.ID
	if n.bound {
		request = cmp.Or(n.req.Resumes, request)
	} else if n.bound = true; stream.Verified() {
		n.version = n.lastEngine.Version
	}
	origin := n.origin(request, n.version)
	g.cfg.Origins.Begun(origin)
	if n.version == "" {
		klog.InfoS("stream cannot be resumed", "request", n.req.ID, "decode", n.lastEngine.ID, "reason", "its software version is not known for certain")
	}
}

// origin returns the origin of the stream that a request began.
func (n *generation) origin(request, version string) ports.StreamOrigin {
	return ports.StreamOrigin{
		Request: request, Fingerprint: n.req.CallerFingerprint, Service: string(n.service), Version: version,
		TTL: time.Until(n.req.Deadline) + originMargin,
	}
}

// announce tells other hosts at which software version a resumable stream may begin, if there are
// several. If too few hear of it, its caller could take it up by its content at a host that knows
// of an earlier stream only, so it does not begin. It returns a function that waits for the result.
func (g *Gate) announce(ctx context.Context, n *generation, engine *traffic.Upstream) (wait func() *domain.Refusal) {
	if !n.route.Resumable || n.bound || !g.hasSeveralVersions(n.service) {
		return func() *domain.Refusal { return nil }
	}
	known := make(chan bool, 1)
	go func() { known <- g.cfg.Origins.Announce(ctx, n.origin(n.req.ID, engine.Version)) }()
	return func() *domain.Refusal {
		if <-known {
			return nil
		}
		return domain.Refuse(domain.RefusalCutOff, "too few other hosts are reached to tell them the software version of the stream",
			"try again at another host").WithRetryAfter(busyRetryAfter)
	}
}

// hasSeveralVersions reports whether the decode engines of a service have, or had a short time ago,
// several software versions.
func (g *Gate) hasSeveralVersions(service traffic.ServiceName) bool {
	now := time.Now()
	several := false
	first := (*traffic.Upstream)(nil)
	for _, up := range g.cfg.Catalog.Ready(service) {
		switch {
		case up.Role != domain.RoleDecode:
		case first == nil:
			first = up
		case up.Version != first.Version:
			several = true
		}
	}
	g.mixedVersions.Update(service, func(until time.Time, _ bool) (time.Time, bool) {
		if several {
			until = now.Add(severalVersionsTTL)
		}
		several = now.Before(until)
		return until, several
	})
	return several
}
