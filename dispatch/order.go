package dispatch

import (
	"cmp"
	"time"

	"greengagespoke/traffic"
)

// turn is what decides when a request gets a slot while more requests wait than there are slots.
// The load that it answers: a burst of requests of very different sizes that fills the memory of
// all decode engines for seconds. One long request takes the memory and the time of ten short
// ones, so that the callers of these would all wait for its caller.
type turn struct {
	arrived time.Time
	// onTimeUntil is until when the request can still meet its target latency. The request is
	// late afterwards.
	onTimeUntil time.Time
	// size is the memory that the request is expected to take on an engine, multiplied by the
	// time, in tokens times tokens.
	size int
}

func newTurn(f *inFlight, target time.Duration) turn {
	return turn{
		arrived:     f.req.Arrived,
		onTimeUntil: f.slotNeededSince.Add(target - firstEventLatency),
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

func (t turn) isLate(now time.Time) bool { return now.After(t.onTimeUntil) }

// compare orders requests: those that can still be on time come first, the smaller ones before the
// larger ones. A request passes the others for less than its target latency only, as late ones
// come in the order of their arrival.
func (t turn) compare(other turn, now time.Time) int {
	late, otherLate := t.isLate(now), other.isLate(now)
	switch {
	case late && !otherLate:
		return 1
	case !late && otherLate:
		return -1
	case late:
		return t.arrived.Compare(other.arrived)
	default:
		return cmp.Or(cmp.Compare(t.size, other.size), t.arrived.Compare(other.arrived))
	}
}
