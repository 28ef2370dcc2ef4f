package keeper

import (
	"time"

	"greengagespoke/placement"
)

// Policy decides which predicted releases of decode places may be granted before
// they happen.
type Policy interface {
	// Name identifies the policy in logs and measurements.
	Name() string
	// LooksAhead returns whether Freeing ever returns anything.
	LooksAhead() bool
	// Freeing returns the releases of a decode upstream that may be promised, in
	// order of time, appended to buf. Places that are promised already stand at
	// the front of the order.
	Freeing(ends []PredictedEnd, buf []placement.Freeing) []placement.Freeing
}

// PredictedEnd is the predicted end of one grant on a decode upstream.
type PredictedEnd struct {
	// In is the expected time until the place is free.
	In     time.Duration
	Pieces int
}

// ReserveThenPrefill grants only places that are free, so that no prefill starts
// before its decode place is certain.
type ReserveThenPrefill struct{}

// Name implements Policy.
func (ReserveThenPrefill) Name() string { return "reserve-then-prefill" }

// LooksAhead implements Policy.
func (ReserveThenPrefill) LooksAhead() bool { return false }

// Freeing implements Policy.
func (ReserveThenPrefill) Freeing(_ []PredictedEnd, buf []placement.Freeing) []placement.Freeing {
	return buf
}

const (
	// defaultSafety promises a release for half the expected time until one of the
	// upstream, as a promised request takes the first free place of the group.
	defaultSafety = 0.5
	// promiseDoubt is how much later than predicted, in multiples of the predicted
	// time, a promised place may be for a request with a first-token target.
	promiseDoubt = 3
	// maxPromises bounds the promised places of one upstream.
	maxPromises = 1
	// promiseHorizon is the farthest release that is promised. It is less than
	// the life of a prefill result.
	promiseHorizon = 800 * time.Millisecond
	// leastRemaining is the least expected time until a grant ends, so that one
	// overdue answer does not promise a release at once.
	leastRemaining = 50 * time.Millisecond
)

// JustInTime grants places that are predicted to be free by the time the prefill
// and the transfer end. The releases of an upstream are taken as a process whose
// rate is the sum of the inverse expected times until its grants end; the k-th
// release is promised for Safety*k over that rate.
type JustInTime struct {
	// Safety stretches the predicted times; zero means 0.5.
	Safety float64
}

// Name implements Policy.
func (JustInTime) Name() string { return "just-in-time" }

// LooksAhead implements Policy.
func (JustInTime) LooksAhead() bool { return true }

// Freeing implements Policy.
func (j JustInTime) Freeing(ends []PredictedEnd, buf []placement.Freeing) []placement.Freeing {
	safety := j.Safety
	if safety == 0 {
		safety = defaultSafety
	}
	rate, pieces := 0.0, 0
	for i, e := range ends {
		rate += 1 / max(e.In, leastRemaining).Seconds()
		if i == 0 || e.Pieces < pieces {
			pieces = e.Pieces
		}
	}
	if rate == 0 {
		return buf
	}
	for k := 1; k <= min(maxPromises, len(ends)); k++ {
		in := time.Duration(safety * float64(k) / rate * float64(time.Second))
		if in > promiseHorizon {
			break
		}
		buf = append(buf, placement.Freeing{In: in, Pieces: pieces})
	}
	return buf
}
