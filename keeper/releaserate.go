package keeper

import "time"

const (
	// releasesKept is the number of releases from which the rate is taken.
	releasesKept = 16
	// promiseWindow is the time in which the releases of a group must be expected
	// to cover its open promises. A promised request waits that long on average
	// for the last of them, and its prefill result lives twice as long.
	promiseWindow = 350 * time.Millisecond
)

// releaseRate measures how often places of a group become free.
type releaseRate struct {
	times [releasesKept]time.Time
	// next is where the next release is noted; count grows up to releasesKept.
	next, count int
}

func (r *releaseRate) add(now time.Time) {
	r.times[r.next] = now
	r.next = (r.next + 1) % releasesKept
	r.count = min(r.count+1, releasesKept)
}

// promises returns how many places may be promised at a time. One is allowed
// until the rate is known.
func (r *releaseRate) promises(now time.Time) int {
	if r.count < releasesKept {
		return 1
	}
	span := now.Sub(r.times[r.next])
	if span <= 0 {
		return 1
	}
	return int(releasesKept * promiseWindow.Seconds() / span.Seconds())
}

// promisesLeft returns how many more places may be promised now.
func (g *group) promisesLeft(now time.Time) int {
	open := 0
	for _, d := range g.decode {
		open += len(d.promises)
	}
	return g.releases.promises(now) - open
}

// promise marks a grant as promised. When no more promises are left, the snapshot
// shows no more predicted releases.
func (g *group) promise(d *decodeState, gr *grant, now time.Time) {
	d.promise(gr)
	g.keeper.metrics.promises.Add(1)
	if g.promisesLeft(now) > 0 {
		return
	}
	for i := range g.snap.Decode {
		g.snap.Decode[i].Freeing = nil
	}
}
