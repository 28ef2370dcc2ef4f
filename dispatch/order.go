package dispatch

import (
	"cmp"
	"time"

	"greengagespoke/traffic"
	"greengagespoke/urgency"
)

// turn is what decides when a request gets a slot while more requests wait than there are slots.
// The load that it answers: a burst of requests of very different sizes that fills the memory of
// all decode engines for seconds. One long request takes the memory and the time of ten short
// ones, so that the callers of these would all wait for its caller.
type turn struct {
	arrived time.Time
	// level is the urgency of the request, since when it began to wait.
	level  urgency.Level
	since  time.Time
	target time.Duration
	// customer sent the request, nil if it is not known. excess is by how much the customer
	// exceeds the share of others in the places of the queue.
	customer *traffic.Customer
	excess   int
	// onTimeUntil is until when the request can still meet its target latency. The request is
	// late afterwards.
	onTimeUntil time.Time
	// tokens is the memory that the request is expected to take on an engine.
	tokens int
	// size is the memory that the request is expected to take on an engine, multiplied by the
	// time, in tokens times tokens.
	size int
}

func newTurn(f *inFlight, target time.Duration) turn {
	return turn{
		arrived:     f.req.Arrived,
		level:       f.level,
		since:       f.slotNeededSince,
		target:      target,
		customer:    f.req.Customer,
		onTimeUntil: f.slotNeededSince.Add(target - firstEventLatency),
		tokens:      estimateTokens(f.req),
		size:        estimateTokens(f.req) * (expectedOutput(f.req) + outputHeadroomTokens),
	}
}

// expectedOutput returns the output that the caller expects, or the largest one, in tokens.
func expectedOutput(req *traffic.Request) int {
	if req.OutputHint > 0 {
		return min(req.OutputHint, req.MaxOutput)
	}
	return req.MaxOutput
}

func (t *turn) isLate(now time.Time) bool { return now.After(t.onTimeUntil) }

// aged returns the level by which the request is ordered.
func (t *turn) aged(now time.Time) int { return t.level.Aged(now.Sub(t.since), t.target) }

// compare orders requests: those that can still be on time come first. Among them, and among late
// ones, the more urgent ones come first, where less urgent ones become more urgent as they wait, then
// those of customers that do not exceed their share. Of those that can be on time the smaller ones
// then come before the larger ones; late ones come in the order of their arrival, so that a request
// passes the others of its level for less than its target latency only. A late request that came
// before requests that can be on time would keep them waiting for the memory that it must leave free.
func (t turn) compare(other turn, now time.Time) int {
	late, otherLate := t.isLate(now), other.isLate(now)
	switch {
	case late && !otherLate:
		return 1
	case !late && otherLate:
		return -1
	}
	urgent := cmp.Or(cmp.Compare(t.aged(now), other.aged(now)), cmp.Compare(t.excess, other.excess))
	if late {
		return cmp.Or(urgent, t.arrived.Compare(other.arrived))
	}
	return cmp.Or(urgent, cmp.Compare(t.size, other.size), t.arrived.Compare(other.arrived))
}
