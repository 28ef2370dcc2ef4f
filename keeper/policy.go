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
	Freeing(o Outlook, buf []placement.Freeing) []placement.Freeing
}

// Outlook is what is expected of the places of a full decode upstream and of its
// group.
type Outlook struct {
	// Rate is the expected number of releases per second on the upstream, and
	// GroupRate that of the whole group.
	Rate, GroupRate float64
	// Promised is the number of promised places on the upstream, and
	// GroupPromised that of the whole group.
	Promised, GroupPromised int
	// Pieces is the least memory that a release frees.
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
func (ReserveThenPrefill) Freeing(_ Outlook, buf []placement.Freeing) []placement.Freeing {
	return buf
}

const (
	// defaultSafety is the number of releases that are expected in the time for
	// which one is promised.
	defaultSafety = 2
	// maxPromises bounds the promised places of one upstream.
	maxPromises = 6
	// promiseHorizon is the farthest release that is promised. It is less than
	// the life of a prefill result.
	promiseHorizon = 3 * time.Second
	// leastRemaining is the least expected time until a grant ends, about the error
	// of the prediction, so that one overdue answer does not promise a release.
	leastRemaining = 500 * time.Millisecond
)

// JustInTime grants places that are predicted to be free by the time the prefill
// and the transfer end. The releases of a group are taken as a process whose rate
// is the sum of the inverse expected times until its grants end; the k-th release
// is promised for Safety*k over that rate. A promise names an upstream on which a
// release is expected within the horizon, and may be kept on another one.
type JustInTime struct {
	// Safety stretches the predicted times; zero means 2.
	Safety float64
}

// Name implements Policy.
func (JustInTime) Name() string { return "just-in-time" }

// LooksAhead implements Policy.
func (JustInTime) LooksAhead() bool { return true }

// Freeing implements Policy.
func (j JustInTime) Freeing(o Outlook, buf []placement.Freeing) []placement.Freeing {
	safety := j.Safety
	if safety == 0 {
		safety = defaultSafety
	}
	for k := 1; k <= maxPromises; k++ {
		if float64(k) > max(1, o.Rate*promiseHorizon.Seconds()) {
			break
		}
		ahead := float64(k + o.GroupPromised - o.Promised)
		in := time.Duration(safety * ahead / o.GroupRate * float64(time.Second))
		if in > promiseHorizon {
			break
		}
		buf = append(buf, placement.Freeing{In: in, Pieces: o.Pieces})
	}
	return buf
}
