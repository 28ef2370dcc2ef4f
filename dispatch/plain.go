package dispatch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/traffic"
	"greengagespoke/urgency"
)

const (
	// firstAttemptShare is the fraction of the remaining time that a repeatable call
	// waits for an upstream if another one may be tried afterwards.
	firstAttemptShare = 0.4
	// busyRetryAfter is the retry delay reported if the upstreams are full: a few
	// times the duration of a plain call.
	busyRetryAfter = 60 * time.Millisecond
)

// plainCall is the state of one call to a plain service.
type plainCall struct {
	*inFlight
	// answer is the response for the caller. A response that reports a failure is
	// kept in case no other upstream succeeds.
	answer *traffic.Answer
	// delivered counts the attempts that reached, or may have reached, a process.
	delivered int
	// lastErr is the error of the last failed attempt. mayHaveRun says that some
	// attempt may have been executed.
	lastErr    *traffic.CallError
	mayHaveRun bool
	// rateLimited means that only rate limits kept the last attempt from an upstream.
	rateLimited bool
	// notBegun is the reason why the last attempt did not begin, or nil.
	notBegun *domain.Refusal
}

// servePlain serves a call to a plain service.
func (g *Gate) servePlain(ctx context.Context, f *inFlight, caller traffic.Caller) {
	c := &plainCall{inFlight: f}
	for ctx.Err() == nil {
		var end func()
		if end, c.notBegun = g.beginAttempt(ctx, f); c.notBegun != nil {
			break
		}
		up := g.nextUpstream(ctx, c)
		if up == nil {
			end()
			break
		}
		answer, err := g.call(ctx, f, up)
		end()
		if err == nil || asCallError(err).Effect != traffic.EffectNotSent {
			c.delivered++
		}
		if err == nil && (!answer.Failed() || !f.route.Repeatable()) {
			c.answer = answer
			break
		}
		if err == nil {
			c.answer, c.mayHaveRun = answer, true
			continue
		}
		c.lastErr = asCallError(err)
		c.mayHaveRun = c.mayHaveRun || c.lastErr.Effect == traffic.EffectUnknown
		if c.mayHaveRun && !f.route.Repeatable() {
			break
		}
		g.yieldRetry(ctx, c)
	}
	if c.answer != nil {
		g.metrics.answered.Add(1)
		caller.Answer(c.answer)
		return
	}
	if c.isUnreached() && f.req.Hop != nil {
		g.refuseAtLevel(f, caller, cutOffRefusal(f.service))
		return
	}
	if c.isUnreached() {
		h := &hop{inFlight: f, caller: caller}
		if refusal := g.passOn(ctx, h); refusal == nil {
			return
		} else if h.mayHaveRun {
			g.refuseAtLevel(f, caller, refusal)
			return
		}
	}
	g.refuseAtLevel(f, caller, g.plainRefusal(c))
}

// isUnreached reports whether none of the upstreams that were tried has been reached, so that
// another host may serve the call.
func (c *plainCall) isUnreached() bool {
	return c.delivered == 0 && !c.mayHaveRun && c.notBegun == nil && c.lastErr != nil
}

// nextUpstream returns the upstream of the next attempt, or nil if there is none or
// no further attempt is allowed.
func (g *Gate) nextUpstream(ctx context.Context, c *plainCall) *traffic.Upstream {
	now := time.Now()
	fresh := g.candidates(c.service, now, func(up *traffic.Upstream) bool { return !c.tried[up.ID] && !c.wasSent(up) && c.maySend(up) })
	var up *traffic.Upstream
	if up, c.rateLimited = g.takeCheapest(ctx, fresh); up == nil {
		return nil
	}
	if c.delivered == 0 {
		return up
	}
	if !g.cfg.Budget.TakeRetry(c.service, now) {
		g.cfg.RateLimits.GiveBack(up)
		klog.InfoS("retry budget used up", "request", c.req.ID, "service", c.service)
		return nil
	}
	g.metrics.retried.Add(1)
	return up
}

// call sends the request to one upstream and records the outcome.
func (g *Gate) call(ctx context.Context, f *inFlight, up *traffic.Upstream) (*traffic.Answer, error) {
	began := time.Now()
	f.sentAt = began
	limit := f.answerDeadline.Sub(began)
	switch {
	case f.isUnstated():
		limit = time.Duration(unstatedAttemptShare * float64(limit))
	case f.route.Repeatable() && f.left() > 1:
		limit = time.Duration(firstAttemptShare * float64(limit))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := g.stats.forUpstream(up)
	t.callStarted()
	f.add(up)
	f.tried[up.ID] = true
	g.cfg.RateLimits.Sent(up)
	answer, err := g.cfg.Upstreams.Call(ctx, up, f.req, f.timeLeft(began))
	if err == nil && answer.Unframed {
		err = g.checkUnframedEnd(ctx, f, up)
	}
	g.observeReach(ctx, f.service, err)
	elapsed := time.Since(began)
	g.metrics.call.Record(elapsed)
	result := g.outcomeOf(ctx, answer, err)
	unhealthy := t.callEnded(result, elapsed, time.Now())
	if err != nil {
		call := asCallError(err)
		if call.NotDelivered() {
			g.forget(f, up)
		}
		klog.InfoS("call failed", "request", f.req.ID, "fingerprint", f.req.Fingerprint, "upstream", up.ID, "effect", call.Effect, "took", elapsed,
			"broken", unhealthy, "lost", call.ConnectionLost, "version", f.configVersion, "err", err)
		g.observeFailure(ctx, f, up, call)
		return nil, err
	}
	if !answer.Failed() {
		g.cfg.Quarantine.Clear(f.req.Fingerprint, f.parts...)
	}
	klog.InfoS("call answered", "request", f.req.ID, "upstream", up.ID, "status", answer.Status, "took", elapsed, "version", f.configVersion)
	return answer, nil
}

// outcomeOf returns the outcome of a call for the stats of its upstream.
func (g *Gate) outcomeOf(ctx context.Context, answer *traffic.Answer, err error) outcome {
	switch {
	case err == nil && answer.Failed():
		return outcomeFailed
	case err == nil:
		return outcomeAnswered
	case asCallError(err).Misdirected:
		return outcomeReplaced
	case asCallError(err).Rests:
		return outcomeIgnored // RateLimits keeps requests away, and knows for how long.
	case asCallError(err).Effect == traffic.EffectRejected:
		return outcomeFailed
	case context.Cause(ctx) == context.Canceled:
		return outcomeIgnored
	default:
		return outcomeConnectionFailed
	}
}

// plainRefusal returns the reason why a call got no response.
func (g *Gate) plainRefusal(c *plainCall) *domain.Refusal {
	switch {
	case c.mayHaveRun && g.hostEnds.Err() != nil:
		return endingRefusal(domain.RanUnknown)
	case c.mayHaveRun && !time.Now().Before(c.answerDeadline):
		return domain.Refuse(domain.RefusalDeadline, "no upstream answered in time",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	case c.mayHaveRun:
		return domain.Refuse(domain.RefusalUpstreamFailed, "the upstream failed",
			"check whether the call took effect before sending it again").WithRan(domain.RanUnknown)
	case c.notBegun != nil:
		return c.notBegun
	case c.rateLimited && c.left() > 0:
		return g.rateLimitedRefusal(c.inFlight)
	case c.lastErr == nil:
		return noUpstreamRefusal(c.service)
	default:
		return fullRefusal(c.level)
	}
}

// fullRefusal is the refusal of a request that the upstreams rejected to which it may be sent. The
// caller's next attempt may go to others.
func fullRefusal(level urgency.Level) *domain.Refusal {
	return domain.Refuse(domain.RefusalOverloaded, "the upstreams that were asked are full or out of reach",
		"try again after the stated time").WithRetryAfter(level.RetryAfter(busyRetryAfter))
}
