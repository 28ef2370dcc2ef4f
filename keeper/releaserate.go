package keeper

import "time"

const (
	// maxReleaseSamples is the number of releases from which the rate is computed.
	maxReleaseSamples = 16
	// promiseWindow is the time within which the group's expected releases must
	// cover its open promises. A promised request waits this long on average for
	// the last of these releases, and its prefill result is kept twice as long.
	promiseWindow = 350 * time.Millisecond
)

// releaseRate measures the rate at which slots of a group become free.
type releaseRate struct {
	times [maxReleaseSamples]time.Time
	// next is the index in times for the next release; count grows up to
	// maxReleaseSamples.
	next, count int
}

func (r *releaseRate) add(now time.Time) {
	r.times[r.next] = now
	r.next = (r.next + 1) % maxReleaseSamples
	r.count = min(r.count+1, maxReleaseSamples)
}

// allowedPromises returns how many slots may be promised at the same time. It is
// one until the rate is known.
func (r *releaseRate) allowedPromises(now time.Time) int {
	if r.count < maxReleaseSamples {
		return 1
	}
	span := now.Sub(r.times[r.next])
	if span <= 0 {
		return 1
	}
	return int(maxReleaseSamples * promiseWindow.Seconds() / span.Seconds())
}

// promisesLeft returns how many more slots may be promised now.
func (g *group) promisesLeft(now time.Time) int {
	open := 0
	for _, d := range g.decode {
		open += len(d.promises)
	}
	return g.releases.allowedPromises(now) - open
}

// promiseSlot marks a grant as promised. If no further promise is allowed, it
// removes all predicted releases from the snapshot.
func (g *group) promiseSlot(d *decodeState, gr *grant, now time.Time) {
	d.addPromise(gr)
	g.keeper.metrics.promises.Add(1)
	if g.promisesLeft(now) > 0 {
		return
	}
	for i := range g.snap.Decode {
		g.snap.Decode[i].PredictedReleases = nil
	}
}
