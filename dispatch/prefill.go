package dispatch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	// prefillTimeout bounds one prefill call: several times the prefill of the largest
	// prompt, queued behind a few others.
	prefillTimeout = 1500 * time.Millisecond
	// maxPrefillAttempts bounds the prefill calls for one reservation.
	maxPrefillAttempts = 2
	// promptReuseShare is the fraction of a prefilled prompt's TTL within which it
	// may be used on another decode engine.
	promptReuseShare = 0.6
)

// prefillFor returns the prefilled prompt for a reservation, or nil if the decode
// engine has the prompt or must prefill it itself.
func (g *Gate) prefillFor(ctx context.Context, n *generation, reservation *traffic.Reservation) *traffic.Prompt {
	if reservation.Engine == n.lastEngine {
		return nil
	}
	if unused := n.unusedPrompt; unused != nil {
		n.unusedPrompt = nil
		if time.Since(n.prefilledAt) < time.Duration(promptReuseShare*float64(n.engine.PromptTTL)) {
			return unused
		}
		g.discardPrompt(unused, wasteExpired)
	}
	prompt := g.runPrefill(ctx, n, reservation)
	n.prefilledAt = time.Now()
	return prompt
}

// runPrefill has the prompt prefilled by a prefill engine, preferably in the zone
// of the reservation. It returns nil if none does. The decode engine then prefills
// the prompt itself.
func (g *Gate) runPrefill(ctx context.Context, n *generation, reservation *traffic.Reservation) *traffic.Prompt {
	tried := make(map[domain.UpstreamID]bool)
	for range maxPrefillAttempts {
		if g.quarantined(n.inFlight) != nil {
			return nil
		}
		engines := g.candidates(n.service, time.Now(), func(up *traffic.Upstream) bool {
			return up.Role == domain.RolePrefill && !tried[up.ID]
		})
		if len(engines) > 0 && engines[0].health.unhealthy {
			// All are unhealthy. A call would fail or be rejected, and use up the
			// retry budget.
			klog.InfoS("prompt left to the decode engine", "request", n.req.ID, "reason", "no prefill engine is healthy")
			return nil
		}
		choice := g.choosePrefillEngine(ctx, n, engines, reservation.Engine.Zone)
		up, delay := choice.up, choice.delay
		if up == nil {
			return nil
		}
		if maxDelay := g.prefillSelector.maxPrefillDelay(n.service, n.req.PromptTokens); maxDelay > 0 && delay > maxDelay {
			g.cfg.RateLimits.GiveBack(up)
			klog.InfoS("prompt left to the decode engine", "request", n.req.ID, "expected delay", delay, "max delay", maxDelay)
			return nil
		}
		tried[up.ID] = true
		if !g.takeRetry(n, n.prefillCalls) {
			g.cfg.RateLimits.GiveBack(up)
			return nil
		}
		n.prefillCalls++
		n.prompted = true
		prompt, err := g.prefill(ctx, n, choice)
		if err == nil {
			n.prefilled = true
			return prompt
		}
		call := asCallError(err)
		klog.InfoS("prompt not read", "request", n.req.ID, "fingerprint", n.req.Fingerprint, "upstream", up.ID,
			"effect", call.Effect, "lost", call.ConnectionLost, "err", err)
		g.observeFailure(ctx, n.inFlight, up, call)
		n.prefillLost = n.prefillLost || call.ConnectionLost
		if call.Effect == traffic.EffectUnknown {
			g.countWaste(ctx, prefillLostCause(call))
		}
		if ctx.Err() != nil {
			return nil
		}
		if call.Effect == traffic.EffectNotSent {
			n.prefillCalls--
			n.prompted = n.prefillCalls > 0
		}
	}
	return nil
}

// prefill has one engine prefill the prompt.
func (g *Gate) prefill(ctx context.Context, n *generation, choice prefillChoice) (*traffic.Prompt, error) {
	up := choice.up
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	t := g.stats.forUpstream(up)
	t.callStarted()
	began := time.Now()
	n.sentAt = began
	g.cfg.RateLimits.Sent(up)
	// The prompt counts as held from now on. Otherwise the requests of a burst would each have it
	// read by another engine until the first one has read it.
	g.prompts.Record(up, n.engine.MemoryTokens, n.req.PromptParts, began)
	prompt, err := g.cfg.Upstreams.Prefill(ctx, up, n.req, n.sendOptions(nil, nil))
	g.observeReach(ctx, n.service, err)
	elapsed := time.Since(began)
	g.metrics.prefill.Record(elapsed)
	t.callEnded(g.outcomeOf(ctx, &traffic.Answer{}, err), choice.held.wholeCall(elapsed), time.Now())
	if err == nil {
		processed := choice.held.processed(n.req.PromptTokens)
		g.prefillSelector.recordPrefill(n.service, processed, elapsed)
		g.cfg.Loads.RecordPrefill(n.service, processed, elapsed)
		g.recordHeldPrefill(n, choice, elapsed)
	} else if call := asCallError(err); call.Effect != traffic.EffectUnknown {
		g.prompts.Forget(up) // The engine has not read the prompt.
	}
	return prompt, err
}
