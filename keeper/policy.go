package keeper

import (
	"time"

	"greengagespoke/placement"
)

// Policy decides which predicted releases of decode slots may be granted before
// they happen.
type Policy interface {
	// Name returns the name of the policy for logs and measurements.
	Name() string
	// LooksAhead returns whether PromisableReleases may return any releases.
	LooksAhead() bool
	// PromisableReleases appends the releases of a decode upstream that may be
	// promised to buf, in order of time. Slots that are already promised count as
	// the first releases in this order.
	PromisableReleases(ends []PredictedEnd, buf []placement.PredictedRelease) []placement.PredictedRelease
}

// PredictedEnd is the predicted end of one grant on a decode upstream.
type PredictedEnd struct {
	// In is the expected time until the slot is free.
	In     time.Duration
	Pieces int
}

// ReserveThenPrefill grants only slots that are free, so that no prefill starts
// before its decode slot is certain.
type ReserveThenPrefill struct{}

// Name implements Policy.
func (ReserveThenPrefill) Name() string { return "reserve-then-prefill" }

// LooksAhead implements Policy.
func (ReserveThenPrefill) LooksAhead() bool { return false }

// PromisableReleases implements Policy.
func (ReserveThenPrefill) PromisableReleases(_ []PredictedEnd, buf []placement.PredictedRelease) []placement.PredictedRelease {
	return buf
}

const (
	// defaultSafetyFactor promises a release at half the expected time until the
	// next release of the upstream, as a promised request takes the first free slot
	// of the whole group.
	defaultSafetyFactor = 0.5
	// promiseDelayFactor is the assumed delay of a promised slot, as a multiple of
	// its predicted time. A request with a first-token target takes a promised slot
	// only if it meets the target even with this delay.
	promiseDelayFactor = 3
	// maxPromisesPerUpstream bounds the promised slots of one upstream.
	maxPromisesPerUpstream = 1
	// promiseHorizon is the longest predicted time until a release that may be
	// promised. It is less than the time for which a prefill result is kept.
	promiseHorizon = 800 * time.Millisecond
	// minRemaining is the least expected time until a grant ends. It keeps a single
	// overdue answer from promising a release at once.
	minRemaining = 50 * time.Millisecond
)

// JustInTime grants slots that are predicted to be free by the time the prefill
// and the transfer end. The releases of an upstream are modeled as a process
// whose rate is the sum of the inverse expected times until its grants end. The
// k-th release is promised for SafetyFactor*k divided by that rate.
type JustInTime struct {
	// SafetyFactor multiplies the predicted times; zero means 0.5.
	SafetyFactor float64
}

// Name implements Policy.
func (JustInTime) Name() string { return "just-in-time" }

// LooksAhead implements Policy.
func (JustInTime) LooksAhead() bool { return true }

// PromisableReleases implements Policy.
func (j JustInTime) PromisableReleases(ends []PredictedEnd, buf []placement.PredictedRelease) []placement.PredictedRelease {
	safety := j.SafetyFactor
	if safety == 0 {
		safety = defaultSafetyFactor
	}
	rate, pieces := 0.0, 0
	for i, e := range ends {
		rate += 1 / max(e.In, minRemaining).Seconds()
		if i == 0 || e.Pieces < pieces {
			pieces = e.Pieces
		}
	}
	if rate == 0 {
		return buf
	}
	for k := 1; k <= min(maxPromisesPerUpstream, len(ends)); k++ {
		in := time.Duration(safety * float64(k) / rate * float64(time.Second))
		if in > promiseHorizon {
			break
		}
		buf = append(buf, placement.PredictedRelease{In: in, Pieces: pieces})
	}
	return buf
}
