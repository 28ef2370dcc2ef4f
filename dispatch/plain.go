package dispatch

import (
	"context"
	"time"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
)

const (
	// firstTryShare is the part of the remaining time that a repeatable call waits
	// for its first upstream, where another one may be tried.
	firstTryShare = 0.4
	// busyRetry is when a caller should come back after its upstream was full: a
	// few times the work of a plain call.
	busyRetry = 60 * time.Millisecond
)

// plainCall is a call to a plain service on its way.
type plainCall struct {
	*flight
	// kept is the failure that an upstream reported, for the caller if no other
	// upstream does better.
	kept *traffic.Answer
	// arrivals counts the sends that reached some process.
	arrivals int
	// last is the last failed try, ran says that some try may have run.
	last *traffic.CallError
	ran  bool
}

// plain serves a call to a plain service.
func (g *Gate) plain(ctx context.Context, f *flight, caller traffic.Caller) {
	c := &plainCall{flight: f}
	for ctx.Err() == nil {
		up := g.nextPlain(c)
		if up == nil {
			break
		}
		answer, err := g.call(ctx, f, up)
		if err == nil || asCallError(err).Effect != traffic.EffectNotSent {
			c.arrivals++
		}
		if err == nil && (!answer.Failed() || !f.route.Repeatable()) {
			c.kept = answer
			break
		}
		if err == nil {
			c.kept, c.ran = answer, true
			continue
		}
		c.last = asCallError(err)
		c.ran = c.ran || c.last.Effect == traffic.EffectUnknown
		if c.ran && !f.route.Repeatable() {
			break
		}
	}
	if c.kept != nil {
		g.counts.answered.Add(1)
		caller.Answer(c.kept)
		return
	}
	g.refuse(f.req, caller, c.refusal())
}

// nextPlain returns the upstream to try next, or nil where there is none or no
// further try is allowed.
func (g *Gate) nextPlain(c *plainCall) *traffic.Upstream {
	now := time.Now()
	fresh := g.candidates(c.service, now, func(up *traffic.Upstream) bool { return !c.tried[up.ID] })
	up := pick(fresh, g.cfg.Zone)
	if up == nil || !c.maySend(up) {
		return nil
	}
	if c.arrivals == 0 {
		return up
	}
	if !g.cfg.Budget.Take(c.service, now) {
		klog.InfoS("retry budget used up", "request", c.req.ID, "service", c.service)
		return nil
	}
	g.counts.repeated.Add(1)
	return up
}

// call sends the request to one upstream and notes how that ended.
func (g *Gate) call(ctx context.Context, f *flight, up *traffic.Upstream) (*traffic.Answer, error) {
	began := time.Now()
	limit := f.final.Sub(began)
	if f.route.Repeatable() && len(f.sent)+1 < f.route.MaxAttempts {
		limit = time.Duration(firstTryShare * float64(limit))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := g.tracks.of(up)
	t.begin()
	f.sent[up.ID], f.tried[up.ID] = true, true
	answer, err := g.cfg.Upstreams.Call(ctx, up, f.req, f.left(began))
	took := time.Since(began)
	g.counts.call.Record(took)
	result := g.outcomeOf(ctx, answer, err)
	out := t.end(result, took, time.Now())
	if err != nil {
		call := asCallError(err)
		if call.Missed() {
			delete(f.sent, up.ID)
		}
		klog.InfoS("call failed", "request", f.req.ID, "upstream", up.ID, "effect", call.Effect, "took", took,
			"broken", out, "version", f.version, "err", err)
		return nil, err
	}
	klog.InfoS("call answered", "request", f.req.ID, "upstream", up.ID, "status", answer.Status, "took", took, "version", f.version)
	return answer, nil
}

// outcomeOf says what a call tells of its upstream.
func (g *Gate) outcomeOf(ctx context.Context, answer *traffic.Answer, err error) outcome {
	switch {
	case err == nil && answer.Failed():
		return outcomeFailed
	case err == nil:
		return outcomeAnswered
	case asCallError(err).Misdirected:
		return outcomeReplaced
	case asCallError(err).Effect == traffic.EffectRejected:
		return outcomeFailed
	case context.Cause(ctx) == context.Canceled:
		return outcomeNone
	default:
		return outcomeBroken
	}
}

// refusal says why a call got no answer.
func (c *plainCall) refusal() *domain.Refusal {
	switch {
	case c.ran && !time.Now().Before(c.final):
		return domain.Refuse(domain.RefusalDeadline, "no upstream answered in time",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	case c.ran:
		return domain.Refuse(domain.RefusalUpstreamFailed, "the upstream failed",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	case c.last == nil:
		return noUpstream(c.service)
	default:
		return domain.Refuse(domain.RefusalOverloaded, "the upstreams that were asked are full or out of reach",
			"try again after the stated time").After(busyRetry)
	}
}
