package dispatch

import (
	"maps"
	"slices"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// attempts is what one request of a caller has used of its attempts, at this host and at those
// that it was passed on to.
type attempts struct {
	// limit is the number of processes that the request may be sent to.
	limit int
	// sent holds the names of the processes that may have received it, as Incarnation.String
	// returns them. unnamed counts those that are not known by name.
	sent    map[string]bool
	unnamed int
	// prompted says that its prompt was sent to a prefill engine, counted that the retry budget
	// of a host counts it.
	prompted, counted bool
}

// newAttempts returns the attempts of a request: all that its route allows, or what another host
// that passed it on grants.
func newAttempts(req *traffic.Request, route *traffic.Route) attempts {
	a := attempts{limit: route.MaxAttempts, sent: make(map[string]bool)}
	if req.Hop == nil {
		return a
	}
	a.prompted, a.counted = req.Hop.Prompted, req.Hop.Counted
	for _, process := range req.Hop.Processes {
		a.sent[process] = true
	}
	switch {
	case req.Hop.Grant != nil:
		a.limit = min(a.limit, len(a.sent)+req.Hop.Grant.Upstreams)
	case route.Repeatable():
		a.limit = min(a.limit, unstatedLimit)
	}
	return a
}

// used returns the number of processes that may have received the request, left that of further
// ones that it may be sent to.
func (a *attempts) used() int { return len(a.sent) + a.unnamed }
func (a *attempts) left() int { return max(0, a.limit-a.used()) }

// wasSent reports whether an upstream may have received the request.
func (a *attempts) wasSent(up *traffic.Upstream) bool { return a.sent[up.Incarnation().String()] }

// maySend reports whether the request may be sent to an upstream: to one that received it before,
// or to a further one.
func (a *attempts) maySend(up *traffic.Upstream) bool { return a.wasSent(up) || a.left() > 0 }

// add records that the request is being sent to an upstream.
func (a *attempts) add(up *traffic.Upstream) { a.sent[up.Incarnation().String()] = true }

// usage returns what the host that passed the request on, or the next one, must know.
func (a *attempts) usage() traffic.Usage {
	return traffic.Usage{Processes: slices.Sorted(maps.Keys(a.sent)), Prompted: a.prompted, Counted: a.counted}
}

// merge adds what another host says that the request has used. It reports whether it was sent to
// further processes there.
func (a *attempts) merge(u *traffic.Usage) (grew bool) {
	before := len(a.sent)
	for _, process := range u.Processes {
		a.sent[process] = true
	}
	a.prompted, a.counted = a.prompted || u.Prompted, a.counted || u.Counted
	return len(a.sent) > before
}

// forget removes an upstream that the request did not reach from those that it was sent to.
func (g *Gate) forget(f *inFlight, up *traffic.Upstream) {
	g.metrics.forgotten.Add(1)
	delete(f.sent, up.Incarnation().String())
}

// lowerLimit applies the limit of the configuration in force if it is lower than that with which
// the request began.
func (g *Gate) lowerLimit(f *inFlight) {
	if g.cfg.Catalog.Version() == f.configVersion {
		return
	}
	if _, route := g.cfg.Catalog.Match(f.req.Host, f.req.Path); route != nil {
		f.limit = min(f.limit, route.MaxAttempts)
	}
}

// reportingCaller tells the host that passed a request on, with the head of the response, what
// the request has used.
type reportingCaller struct {
	traffic.Caller
	f *inFlight
}

// Answer implements traffic.Caller.
func (c reportingCaller) Answer(a *traffic.Answer) {
	c.Used(c.f.usage())
	c.Caller.Answer(a)
}

// Refuse implements traffic.Caller.
func (c reportingCaller) Refuse(r *domain.Refusal) {
	c.Used(c.f.usage())
	c.Caller.Refuse(r)
}

// Start implements traffic.Caller.
func (c reportingCaller) Start(head any) {
	c.Used(c.f.usage())
	c.Caller.Start(head)
}
