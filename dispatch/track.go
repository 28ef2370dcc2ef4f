package dispatch

import (
	"math"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
)

const (
	// outcomeWeight is the weight of the newest outcome in a moving average.
	outcomeWeight = 0.2
	// outcomeHalfLife is the time after which an old outcome counts half, so that
	// an upstream that was avoided is tried again.
	outcomeHalfLife = 4 * time.Second
	// breakAfter is the number of failed connections in a row that take an
	// upstream out for a while.
	breakAfter = 2
	// firstBreak and longestBreak bound the time that an upstream is out; it
	// doubles with each further failure.
	firstBreak   = 500 * time.Millisecond
	longestBreak = 4 * time.Second
	// replacedBreak is how long an upstream is out at whose address another process
	// answered: longer than the registry keeps the entry of one that crashed.
	replacedBreak = 5 * time.Second
)

// outcome is how a call ended, as far as it tells of the upstream.
type outcome int

const (
	// outcomeAnswered is any answer of the upstream that is not a failure.
	outcomeAnswered outcome = iota
	// outcomeFailed is an answer that reports a failure.
	outcomeFailed
	// outcomeBroken is a connection that failed, or an answer that never came.
	outcomeBroken
	// outcomeReplaced is an answer of another process at the upstream's address.
	outcomeReplaced
	// outcomeNone tells nothing, such as a caller who left.
	outcomeNone
)

// trackKey names one life of an upstream in one role: an engine that changes its
// role rejects calls meanwhile, which tells nothing of the time after.
type trackKey struct {
	life traffic.Incarnation
	role domain.Role
}

// track is what this host has seen of one life of an upstream in one role.
type track struct {
	mu sync.Mutex
	// active is the number of calls under way.
	active int
	// latency is the mean time to an answer, failure the mean share of failures.
	latency time.Duration
	failure float64
	updated time.Time
	// broken counts broken connections in a row; out is the end of the break.
	broken int
	out    time.Time
}

// tracks holds the track of each upstream.
type tracks struct {
	byKey *shard.Map[trackKey, *track]
}

func newTracks() tracks {
	return tracks{byKey: shard.NewMap[trackKey, *track]()}
}

func (t tracks) of(up *traffic.Upstream) *track {
	var found *track
	t.byKey.Update(trackKey{up.Incarnation(), up.Role}, func(known *track, ok bool) (*track, bool) {
		if !ok {
			known = &track{}
		}
		found = known
		return known, true
	})
	return found
}

// begin counts a call.
func (t *track) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
}

// end takes the outcome of a call. It returns whether the upstream was taken out.
func (t *track) end(result outcome, took time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if result == outcomeNone {
		return false
	}
	t.decay(now)
	failure := 0.0
	if result != outcomeAnswered {
		failure = 1
	}
	t.failure += outcomeWeight * (failure - t.failure)
	t.latency += time.Duration(outcomeWeight * float64(took-t.latency))
	if result == outcomeReplaced {
		t.out = now.Add(replacedBreak)
		return true
	}
	if result != outcomeBroken {
		t.broken = 0
		return false
	}
	t.broken++
	if t.broken < breakAfter {
		return false
	}
	t.out = now.Add(min(longestBreak, firstBreak<<min(t.broken-breakAfter, 8)))
	return true
}

// decay lets old outcomes fade. The caller holds the lock.
func (t *track) decay(now time.Time) {
	if !t.updated.IsZero() {
		fade := math.Exp2(-now.Sub(t.updated).Seconds() / outcomeHalfLife.Seconds())
		t.failure *= fade
		t.latency = time.Duration(float64(t.latency) * fade)
	}
	t.updated = now
}

// health is a copy of a track.
type health struct {
	active  int
	latency time.Duration
	failure float64
	out     bool
}

func (t *track) health(now time.Time) health {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return health{active: t.active, latency: t.latency, failure: t.failure, out: now.Before(t.out)}
}
