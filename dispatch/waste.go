package dispatch

import (
	"context"
	"time"

	"greengagespoke/traffic"
)

// wasteCause says why a prefilled prompt was of no use.
type wasteCause int

const (
	// wasteCallerGone means that the caller disconnected, its deadline passed or the host ended.
	wasteCallerGone wasteCause = iota
	// wasteExpired means that the engine no longer kept the prompt when it could have been used.
	wasteExpired
	// wasteSlotLost means that the slot on the decode engine was given back or expired, and that
	// there was no other one in time.
	wasteSlotLost
	// wasteEngineGone means that the prefill engine or the decode engine was lost, left or was replaced.
	wasteEngineGone
	// wasteRejected means that the decode engine rejected the stream.
	wasteRejected
	// wasteAnswerLost means that the response of an engine was lost, so that it is not known
	// whether the prompt was used. A request that is repeated has it prefilled again.
	wasteAnswerLost
	// wasteQuarantined means that the request was quarantined meanwhile.
	wasteQuarantined
	wasteCauses
)

// countWaste counts a prompt that was prefilled for nothing. While the request is being ended, that
// is the cause.
func (g *Gate) countWaste(ctx context.Context, cause wasteCause) {
	if ctx.Err() != nil {
		cause = wasteCallerGone
	}
	g.metrics.prefillsWasted.Add(1)
	g.metrics.wastedFor[cause].Add(1)
}

// discardPrompt counts and releases an unused prompt. It does nothing if prompt is nil.
func (g *Gate) discardPrompt(prompt *traffic.Prompt, cause wasteCause) {
	if prompt == nil {
		return
	}
	g.countWaste(context.Background(), cause)
	if !g.cfg.RateLimits.Resting(prompt.Engine) {
		g.cfg.Upstreams.ReleasePrompt(prompt)
	}
}

// discardUnused discards the prompt that a request leaves unused at its end.
func (g *Gate) discardUnused(ctx context.Context, n *generation) {
	cause := n.unusedFor
	if ctx.Err() != nil {
		cause = wasteCallerGone
	}
	g.discardPrompt(n.unusedPrompt, cause)
}

// notStartedCause returns the cause if the prompt of a stream that did not reach its decode engine,
// or that the engine rejected to rest, finds no other use.
func notStartedCause(call *traffic.CallError) wasteCause {
	if call.Rests {
		return wasteRejected
	}
	return wasteEngineGone
}

// rejectedCause returns why a decode engine rejected a stream: a slot or a prompt that had expired,
// if they were old enough.
func (n *generation) rejectedCause(reservation *traffic.Reservation, now time.Time) wasteCause {
	switch {
	case n.engine.PromptTTL > 0 && now.Sub(n.prefilledAt) >= n.engine.PromptTTL:
		return wasteExpired
	case now.Sub(n.reservedAt) >= min(reservationTTL, n.engine.ReservationTTL):
		return wasteSlotLost
	default:
		return wasteRejected
	}
}

// prefillLostCause returns the cause for a prompt of which the prefill engine may have read some.
func prefillLostCause(call *traffic.CallError) wasteCause {
	if call.ConnectionLost {
		return wasteEngineGone
	}
	return wasteAnswerLost
}
