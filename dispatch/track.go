package dispatch

import (
	"math"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/baton"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
)

const (
	// newestOutcomeWeight is the weight of the newest outcome in a moving average.
	newestOutcomeWeight = 0.2
	// outcomeHalfLife is the time after which the averages of an upstream have
	// halved, so that an upstream that was avoided is tried again.
	outcomeHalfLife = 4 * time.Second
	// unhealthyAfterFailures is the number of consecutive connection failures, or rejected
	// streams, after which an upstream is taken out of rotation for a while.
	unhealthyAfterFailures = 2
	// minOutOfRotation and maxOutOfRotation bound the time that an upstream is out
	// of rotation. It doubles with each further failure.
	minOutOfRotation = 500 * time.Millisecond
	maxOutOfRotation = 4 * time.Second
	// probeInterval is the time between two probes of an upstream that is out of rotation.
	probeInterval = time.Second
	// replacedOutOfRotation is how long an upstream is out of rotation if another
	// process answered at its address. It is longer than the registry keeps the
	// entry of a crashed upstream.
	replacedOutOfRotation = 5 * time.Second
)

// outcome is the result of a call as a signal of the upstream's health.
type outcome int

const (
	// outcomeAnswered is any response that reports no failure.
	outcomeAnswered outcome = iota
	// outcomeFailed is a response that reports a failure, or a rejected call.
	outcomeFailed
	// outcomeConnectionFailed is a failed connection or a missing response.
	outcomeConnectionFailed
	// outcomeReplaced is a response of another process at the upstream's address.
	outcomeReplaced
	// outcomeStreamRejected is a stream that an engine rejected although it had granted a slot.
	outcomeStreamRejected
	// outcomeIgnored says nothing about the upstream, for example a disconnected
	// caller.
	outcomeIgnored
)

// statsKey identifies one incarnation of an upstream in one role. The role is part
// of the key because an engine rejects calls while it changes its role, and these
// rejections say nothing about its health afterwards.
type statsKey struct {
	incarnation traffic.Incarnation
	role        domain.Role
}

// upstreamStats holds what this host observed of one incarnation of an upstream in
// one role.
type upstreamStats struct {
	mu sync.Mutex
	// activeCalls is the number of calls in flight.
	activeCalls int
	// meanLatency and failureRate are moving averages over the calls that ended.
	meanLatency time.Duration
	failureRate float64
	updated     time.Time
	// connectionFailures counts consecutive connection failures. The upstream is out
	// of rotation until unhealthyUntil.
	connectionFailures int
	unhealthyUntil     time.Time
	// rejections counts consecutive rejected streams.
	rejections int
	// abandoned holds the requests that were given up lately while the upstream had them.
	abandoned []abandonedCall
	// eventTime is the time of the streams of a decode engine, from their calls on, for each event.
	// It is in seconds.
	eventTime average
	// mustProbe means that it stays so until a connection to it could be opened, which probing
	// says is being tried.
	mustProbe, probing bool

	// crashTurn is held while a request finds out whether the process has ended; process is what
	// was found at crashCheckedAt.
	crashTurn      baton.Baton
	process        processState
	crashCheckedAt time.Time
}

// statsMap holds the stats of each upstream.
type statsMap struct {
	byKey *shard.Map[statsKey, *upstreamStats]
}

func newStatsMap() statsMap {
	return statsMap{byKey: shard.NewMap[statsKey, *upstreamStats]()}
}

func (t statsMap) forUpstream(up *traffic.Upstream) *upstreamStats {
	var found *upstreamStats
	t.byKey.Update(statsKey{up.Incarnation(), up.Role}, func(known *upstreamStats, ok bool) (*upstreamStats, bool) {
		if !ok {
			known = &upstreamStats{}
		}
		found = known
		return known, true
	})
	return found
}

// callStarted counts a call in flight.
func (t *upstreamStats) callStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeCalls++
}

// callEnded records the outcome of a call. It reports whether the call took the
// upstream out of rotation.
func (t *upstreamStats) callEnded(result outcome, elapsed time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeCalls--
	if result == outcomeIgnored {
		return false
	}
	if result == outcomeStreamRejected {
		if t.rejections++; t.rejections >= unhealthyAfterFailures {
			t.unhealthyUntil = now.Add(outOfRotation(t.rejections))
		}
		return false
	}
	t.decay(now)
	failure := 0.0
	if result != outcomeAnswered {
		failure = 1
	}
	t.failureRate += newestOutcomeWeight * (failure - t.failureRate)
	t.meanLatency += time.Duration(newestOutcomeWeight * float64(elapsed-t.meanLatency))
	if result == outcomeReplaced {
		t.unhealthyUntil = now.Add(replacedOutOfRotation)
		return true
	}
	if result != outcomeConnectionFailed {
		t.connectionFailures, t.mustProbe = 0, false
		return false
	}
	t.connectionFailures++
	if t.connectionFailures < unhealthyAfterFailures {
		return false
	}
	t.unhealthyUntil = now.Add(outOfRotation(t.connectionFailures))
	t.mustProbe = true
	return true
}

// outOfRotation returns how long an upstream is out of rotation after a number of consecutive
// failures.
func outOfRotation(failures int) time.Duration {
	return min(maxOutOfRotation, minOutOfRotation<<min(failures-unhealthyAfterFailures, 8))
}

// streamStarted records that the engine accepted a stream.
func (t *upstreamStats) streamStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejections = 0
}

// beginProbe reports whether the upstream is to be probed now. If so, endProbe must be called.
func (t *upstreamStats) beginProbe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mustProbe || t.probing || now.Before(t.unhealthyUntil) {
		return false
	}
	t.probing = true
	return true
}

// endProbe records whether a connection to the upstream could be opened.
func (t *upstreamStats) endProbe(opened bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
	if opened {
		t.mustProbe = false
		return
	}
	t.unhealthyUntil = now.Add(probeInterval)
}

// decay reduces the averages by the time since their last update. The caller holds
// the lock.
func (t *upstreamStats) decay(now time.Time) {
	if !t.updated.IsZero() {
		fade := math.Exp2(-now.Sub(t.updated).Seconds() / outcomeHalfLife.Seconds())
		t.failureRate *= fade
		t.meanLatency = time.Duration(float64(t.meanLatency) * fade)
	}
	t.updated = now
}

// health is a snapshot of an upstream's stats.
type health struct {
	activeCalls int
	meanLatency time.Duration
	failureRate float64
	unhealthy   bool
	eventTime   average
}

func (t *upstreamStats) health(now time.Time) health {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return health{activeCalls: t.activeCalls, meanLatency: t.meanLatency, failureRate: t.failureRate, unhealthy: t.mustProbe || now.Before(t.unhealthyUntil), eventTime: t.eventTime}
}
