package urgency

import (
	"math"
	"time"
)

const (
	// reliefTargets is the waiting time, in multiples of the target latency, from which a request
	// counts as one of the most urgent level, in the order and for the headroom. It is below the
	// time at which a request gives up. With 1 and 1.5 less of the credit was earned in the replay,
	// with 3 requests of the last level were served too rarely (docs/design/urgency.md).
	reliefTargets = 2
	// headroomRequests is the memory, in typical requests, that one of the last level leaves free
	// for more urgent ones when it begins to wait. Twice as much leaves too much memory unused at
	// the usual load, half as much too little for the most urgent requests.
	headroomRequests = 1.0
	// maxHeadroomShare bounds the headroom, as a share of an engine's memory: an engine that is
	// half empty takes requests of every level.
	maxHeadroomShare = 0.5
	// retryShare is the share of the retry delay that each level adds to it.
	retryShare = 0.5
	// maxRetryFactor bounds the retry delay, in multiples of that of the most urgent level.
	maxRetryFactor = 2.0
	// fasterPlaces is how many times faster than lately places may become free before a request
	// that was refused as hopeless could have had one. A third of the engines that comes back
	// makes it 1.5.
	fasterPlaces = 2
)

// pressure is how far a request stands behind those of the most urgent level: its level when it
// begins to wait, falling evenly to 0 at reliefTargets.
func (l Level) pressure(waited, target time.Duration) float64 {
	if l.Index == 0 || !l.Matters() {
		return 0
	}
	relief := reliefTargets * float64(target)
	return float64(l.Index) * max(0, 1-max(0, float64(waited))/relief)
}

// Aged returns the level in the order of waiting requests. It falls with the time waited and is 0
// from reliefTargets on, so that a request waits behind requests for their urgency for no longer
// than that.
func (l Level) Aged(waited, target time.Duration) int {
	return int(math.Ceil(l.pressure(waited, target)))
}

// Headroom returns the memory in tokens that must stay free on an engine for more urgent requests
// where a request of this level gets a place. It grows evenly with the level and falls evenly with
// the time waited, to 0 at reliefTargets. typical is the memory of a typical request of the
// service, memory that of an engine.
func (l Level) Headroom(waited, target time.Duration, typical, memory int) int {
	if !l.Matters() {
		return 0
	}
	headroom := headroomRequests * l.pressure(waited, target) / float64(l.Count-1) * float64(typical)
	return int(min(headroom, maxHeadroomShare*float64(memory)))
}

// RetryAfter returns the retry delay of a refusal, given that of the most urgent level.
func (l Level) RetryAfter(delay time.Duration) time.Duration {
	if !l.Matters() {
		return delay
	}
	return time.Duration(float64(delay) * min(maxRetryFactor, 1+retryShare*float64(l.Index)))
}

// Hopeless reports whether a request that arrives can get no place before it gives up, even if
// places become free faster than lately. ahead is the number of requests that come first and wait
// for longer, placed that of the places that the queue got within the time window, remaining how
// long the request may wait. Without a recent place nothing is known, and the request waits.
func (l Level) Hopeless(ahead, placed int, window, remaining time.Duration) bool {
	if !l.Matters() || l.Index == 0 || placed == 0 {
		return false
	}
	perPlace := window / time.Duration(placed*fasterPlaces)
	return time.Duration(ahead)*perPlace > remaining
}
