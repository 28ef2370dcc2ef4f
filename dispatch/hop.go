package dispatch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/eventstream"
	"greengagespoke/internal/pause"
	"greengagespoke/traffic"
)

const (
	// maxHopTries bounds the hosts that a request is passed on to, one after the other.
	maxHopTries = 4
	// hopRetryDelay is the wait after a host declined, as configurations may differ for a
	// moment.
	hopRetryDelay = 40 * time.Millisecond
	// unstatedLimit is the number of upstreams for a repeatable request of a host that does not
	// state what it has used. It passes the request on again if it has no answer after
	// firstAttemptShare of the time, so it gets one after unstatedAttemptShare.
	unstatedLimit        = 1
	unstatedAttemptShare = 0.3
	// hopSilenceTimeout is how long a resumable stream of another host may be silent before it goes
	// on at a further one: longer than that host takes to resume it at another engine, and shorter
	// than the time that callers wait.
	hopSilenceTimeout = 2 * streamSilenceTimeout
	// cutOffRetryAfter is the retry delay reported if no host reaches the service.
	cutOffRetryAfter = time.Second
)

// cutOffRefusal is the refusal of a request whose service this host does not reach.
func cutOffRefusal(service traffic.ServiceName) *domain.Refusal {
	return domain.Refuse(domain.RefusalCutOff, "this host reaches no upstream of service "+string(service)+", nor does another host that it knows",
		"try again after the stated time").WithRetryAfter(cutOffRetryAfter)
}

// declineHop returns why a request that another host passed on cannot be served here, or nil.
// Hosts with different configurations do not serve for each other, so that what callers of one
// host see does not go back to an earlier version. A request that may have run on upstreams that
// the other host does not state may have used all its attempts.
func declineHop(req *traffic.Request, config *traffic.Config, route *traffic.Route, customer *traffic.Customer) *domain.Refusal {
	switch {
	case req.Hop == nil:
		return nil
	case req.Hop.Version != config.Version:
		return domain.Refuse(domain.RefusalCutOff, "the hosts have different versions of the configuration", "try again at once").WithRetryAfter(busyRetryAfter)
	case req.Hop.Grant == nil && route != nil && mayHaveRunElsewhere(req, route):
		return domain.Refuse(domain.RefusalCutOff, "the other host does not state which upstreams the request was sent to", "try again at once").WithRetryAfter(busyRetryAfter)
	case route != nil:
		return declineCustomer(req, config, route, customer)
	default:
		return nil
	}
}

// mayHaveRunElsewhere reports whether a request without a grant may have run at the other host, or
// at one that it was passed on to before: a generation that was counted there, or a stream that
// goes on within its response.
func mayHaveRunElsewhere(req *traffic.Request, route *traffic.Route) bool {
	return route.Repeatable() && (route.Generation && req.Hop.Counted || req.LastEventID != "" && req.Resumes == req.ID)
}

// isGranted reports whether another host passed the request on with a grant, isUnstated whether
// it did so without saying what a repeatable request has used.
func (f *inFlight) isGranted() bool { return f.req.Hop != nil && f.req.Hop.Grant != nil }

func (f *inFlight) isUnstated() bool {
	return f.req.Hop != nil && f.req.Hop.Grant == nil && f.route.Repeatable()
}

// observeReach records what a call shows about the links to the upstreams of a service.
func (g *Gate) observeReach(ctx context.Context, service traffic.ServiceName, err error) {
	call := asCallError(err)
	switch {
	case err == nil, call.Effect == traffic.EffectRejected, call.Misdirected:
		g.cfg.Reach.Reached(service)
	case errors.Is(err, errEngineLeaving), errors.Is(err, errEngineRests), context.Cause(ctx) == context.Canceled:
	default:
		g.cfg.Reach.Failed(service)
	}
}

// isCutOff reports whether this host reaches no upstream of the request's service.
func (g *Gate) isCutOff(f *inFlight) bool { return g.cfg.Reach.Lost(f.service) }

// hop is the state of a request that is passed on to other hosts.
type hop struct {
	*inFlight
	caller traffic.Caller
	opts   traffic.HopOptions
	// headSent says that the caller has the head of a stream.
	headSent   bool
	mayHaveRun bool
	// retryTaken says that the budget allows one further run, which has not happened yet.
	retryTaken bool
	// answer is the last response that reports a failure. It is for the caller if no further host
	// does better. refused says that it is another host's own.
	answer  *traffic.Answer
	refused bool
}

// passOn lets other hosts serve the request, which send it to upstreams as if the caller had sent
// it there. It returns nil if the caller has an answer or was disconnected, and the reason
// otherwise. A request makes one hop at most. The attempts are this host's: it grants one upstream
// at a time, so that little is lost with a host that does not say what it has used.
func (g *Gate) passOn(ctx context.Context, h *hop) *domain.Refusal {
	h.opts.Version = h.configVersion
	h.stateCustomer()
	for try := range maxHopTries {
		if h.req.Hop != nil || !g.mayPass(h) {
			break
		}
		helpers := g.cfg.Reach.Helpers(ctx, h.service)
		if len(helpers) == 0 {
			break
		}
		done, err := g.passTo(ctx, h, helpers[try%len(helpers)], try+1 < maxHopTries)
		if done {
			return nil
		}
		if err == nil {
			break
		}
		h.mayHaveRun = h.mayHaveRun || err.Effect == traffic.EffectUnknown
		if ctx.Err() != nil || h.headSent && !h.route.Resumable {
			break
		}
		if err.Effect == traffic.EffectRejected && !pause.For(ctx, hopRetryDelay) {
			break
		}
	}
	switch {
	case h.answer != nil && !h.headSent && (!h.refused || !h.mayHaveRun):
		h.notRun = h.refused
		h.caller.Answer(h.answer)
		return nil
	case h.mayHaveRun && g.hostEnds.Err() != nil:
		return endingRefusal(domain.RanUnknown)
	case h.mayHaveRun && ctx.Err() != nil:
		return domain.Refuse(domain.RefusalDeadline, "no answer of another host in time",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	case h.mayHaveRun:
		return domain.Refuse(domain.RefusalUpstreamFailed, "the host to which the request was passed on failed",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	default:
		return cutOffRefusal(h.service)
	}
}

// mayPass reports whether the request may be passed on: its attempts are not used up, it did not
// run or may be repeated, and the budget allows the retry if an upstream had it before.
func (g *Gate) mayPass(h *hop) bool {
	g.lowerLimit(h.inFlight)
	if h.left() == 0 || h.mayHaveRun && !h.route.Repeatable() {
		return false
	}
	if h.used() == 0 && !h.mayHaveRun || h.retryTaken {
		return true
	}
	if !g.cfg.Budget.TakeRetry(h.service, time.Now()) {
		klog.InfoS("retry budget used up", "request", h.req.ID, "service", h.service)
		return false
	}
	g.metrics.retried.Add(1)
	h.retryTaken = true
	return true
}

// passTo passes the request on to one host. done means that the caller has all that it will
// get.
func (g *Gate) passTo(ctx context.Context, h *hop, host domain.HostID, more bool) (done bool, failure *traffic.CallError) {
	now := time.Now()
	more = more && h.left() > 1
	limit := h.answerDeadline.Sub(now)
	if more && h.route.Kind == traffic.Idempotent {
		limit = time.Duration(firstAttemptShare * float64(limit))
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := func() {}
	if more && h.isGeneration() && h.route.Repeatable() {
		// A host that has frozen holds the connection. A stream that has begun may take the whole time.
		waiting := time.AfterFunc(time.Duration(firstAttemptShare*float64(limit)), cancel)
		begun = func() { waiting.Stop() }
	}
	resp, err := g.pass(callCtx, h, host)
	begun()
	switch {
	case err == nil && resp.Answer != nil && h.headSent:
		err = &traffic.CallError{Effect: traffic.EffectUnknown, Err: errStreamNotResumed}
	case err == nil && resp.Answer != nil && h.isGeneration() && !resp.Refused && !resp.Answer.Failed():
		g.metrics.streamsMalformed.Add(1)
		err = &traffic.CallError{Effect: traffic.EffectUnknown, Err: errNoStream}
	case err == nil && resp.Answer != nil && more && h.mayDoBetter(resp):
		h.answer, h.refused = resp.Answer, resp.Refused
		err = &traffic.CallError{Effect: traffic.EffectUnknown, Err: errUpstreamFailed}
		if resp.NotRun {
			err = &traffic.CallError{Effect: traffic.EffectRejected, Err: errUpstreamFailed}
		}
	case err == nil && resp.NotRun && h.mayHaveRun:
		// It did not run at that host, but may have at another one.
		klog.InfoS("request refused by another host", "request", h.req.ID, "host", host)
		return false, nil
	case err == nil && resp.Answer != nil:
		h.notRun = resp.NotRun
		h.caller.Answer(resp.Answer)
		return true, nil
	case err == nil:
		done, err = g.relayHop(ctx, h, resp.Stream)
	}
	if err != nil {
		failure = asCallError(err)
		g.metrics.hopsFailed.Add(1)
		givenUp := callCtx.Err() != nil && ctx.Err() == nil
		if givenUp {
			g.metrics.hopsGivenUp.Add(1)
		}
		klog.InfoS("request not served by another host", "request", h.req.ID, "host", host, "effect", failure.Effect,
			"given_up", givenUp, "took", time.Since(now).Round(time.Millisecond), "stated", resp.Usage != nil,
			"upstreams_used", h.used(), "upstreams_allowed", h.limit, "err", err)
	}
	return done, failure
}

var (
	errStreamNotResumed = errors.New("the stream does not go on at another host; its caller may take it up")
	errNoStream         = errors.New("the other host answered with success and no stream; another one is tried")
	errUpstreamFailed   = errors.New("the upstream that the other host chose failed; another one is tried")
)

// pass passes the request on to one host and counts what it uses there. A host of a release that
// knows no grants declines a request with one, and gets it without one if it was sent to no
// upstream yet. All its attempts are then used, as nobody knows how many the host needs. Where the
// configuration has customers, it does not get the request, as it would not tell upstreams the name.
func (g *Gate) pass(ctx context.Context, h *hop, host domain.HostID) (traffic.HopResponse, error) {
	h.opts.Remaining = h.timeLeft(time.Now())
	h.opts.Usage = h.usage()
	h.opts.Grant = &traffic.Grant{Service: h.service, Upstreams: min(1, h.left())}
	g.metrics.passedOn.Add(1)
	resp, err := g.cfg.Hops.Pass(ctx, host, h.req, h.opts)
	declined := err == nil && resp.Refused || err != nil && asCallError(err).Effect == traffic.EffectRejected
	if !declined || resp.Usage != nil {
		h.account(resp.Usage, err)
		return resp, err
	}
	if h.used() > 0 || h.mayHaveRun || h.req.HidesCredential {
		return traffic.HopResponse{}, &traffic.CallError{Effect: traffic.EffectRejected, Err: errNoGrants}
	}
	h.opts.Grant = nil
	resp, err = g.cfg.Hops.Pass(ctx, host, h.req, h.opts)
	h.account(resp.Usage, err)
	return resp, err
}

// errNoGrants means that a host declined a request and may not get it without a grant.
var errNoGrants = errors.New("the other host declines the request, or is of a release that knows no grants; another one is tried")

// account counts what a request has used at another host. If that host does not say so, the whole
// grant is used, or all attempts without one.
func (h *hop) account(usage *traffic.Usage, err error) {
	notRun := err != nil && asCallError(err).Effect != traffic.EffectUnknown
	switch {
	case usage != nil:
		if grew := h.merge(usage); !grew && notRun {
			return
		}
	case notRun:
		return
	case h.opts.Grant != nil:
		h.unnamed += h.opts.Grant.Upstreams
	default:
		h.unnamed += h.left()
	}
	h.retryTaken, h.prompted, h.counted = false, h.prompted || h.route.Generation, true
}

// mayDoBetter reports whether an upstream failed or rejected the request at another host, and
// another one may be tried.
func (h *hop) mayDoBetter(resp traffic.HopResponse) bool {
	return resp.Usage != nil && len(resp.Usage.Processes) > len(h.opts.Processes) && resp.Answer.Failed() &&
		h.left() > 0 && (resp.NotRun || h.route.Repeatable())
}

// relayHop passes the events of another host's stream on to the caller.
func (g *Gate) relayHop(ctx context.Context, h *hop, stream traffic.Stream) (done bool, err error) {
	defer stream.Close()
	events := sequence{last: cmp.Or(h.opts.LastEventID, h.req.LastEventID)}
	for {
		wait := time.Until(h.answerDeadline)
		if h.route.Resumable {
			wait = min(wait, hopSilenceTimeout)
		}
		event, err := events.next(stream, wait)
		if errors.Is(err, io.EOF) && stream.Unframed() {
			return false, &traffic.CallError{Effect: traffic.EffectUnknown, Err: errUnframedHop}
		}
		if errors.Is(err, eventstream.ErrMalformed) {
			g.metrics.streamsMalformed.Add(1)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return false, err
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if err != nil {
			return true, nil
		}
		if !h.headSent {
			h.headSent = true
			h.caller.Start(stream.Head())
		}
		if err := h.caller.Event(event); err != nil {
			g.metrics.disconnected.Add(1)
			return true, nil
		}
		if event.ID != "" {
			h.eventSent()
			h.goOnAfter(event.ID)
		}
	}
}

// errUnframedHop means that the end of a stream of another host does not say whether it is whole.
var errUnframedHop = errors.New("the stream of the other host has no length and may have ended early")

// goOnAfter lets the next host go on after an event of the stream.
func (h *hop) goOnAfter(eventID string) {
	h.opts.LastEventID, h.opts.Resumes = eventID, h.req.ID
	if h.req.LastEventID != "" {
		h.opts.Resumes = cmp.Or(h.req.Resumes, h.req.ID)
	}
}

// passOnGeneration lets another host serve a generation, or go on with its stream.
func (g *Gate) passOnGeneration(ctx context.Context, n *generation) *domain.Refusal {
	h := &hop{inFlight: n.inFlight, caller: n.caller, headSent: n.headSent, mayHaveRun: n.mayHaveRun}
	if n.lastEventID != "" {
		h.goOnAfter(n.lastEventID)
	}
	refusal := g.passOn(ctx, h)
	n.headSent = h.headSent
	return refusal
}
