package ratelimit

import (
	"time"

	"greengagespoke/domain"
)

const (
	// minBucketSize is the number of grants that may be saved up at a low rate, and
	// bucketTime the time in which a bucket fills beyond that.
	minBucketSize = 2
	bucketTime    = 500 * time.Millisecond
	// askerTTL is how long a host that asked counts as one that has requests.
	askerTTL = 10 * time.Second
	// minWait is the shortest wait of a host that was denied.
	minWait = 50 * time.Millisecond
	// maxWait is the longest wait with few hosts. After it a host learns at the latest that
	// the limit has risen or ended.
	maxWait = 3 * time.Second
	// maxAskRate bounds the questions of all hosts about one upstream beyond its limit, in
	// questions a second.
	maxAskRate = 5
)

// bucket is the token bucket of an upstream at its granting host. The zero value is empty.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// askers holds the time of the last question of each host.
	askers map[domain.HostID]time.Time
}

// take takes a token, at a rate in tokens a second. If there is none, it returns how long
// the host is to wait, so that all hosts together ask about as often as there are tokens.
func (b *bucket) take(from domain.HostID, rate float64, now time.Time) (granted bool, wait time.Duration) {
	if !b.filledAt.IsZero() {
		b.tokens = min(minBucketSize+rate*bucketTime.Seconds(), b.tokens+rate*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
	hosts := b.countAsker(from, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	longest := max(maxWait.Seconds(), hosts/maxAskRate)
	seconds := min(hosts/rate, longest)
	return false, max(minWait, time.Duration(seconds*float64(time.Second)))
}

// countAsker notes a question and returns the number of hosts that asked lately.
func (b *bucket) countAsker(from domain.HostID, now time.Time) float64 {
	if b.askers == nil {
		b.askers = make(map[domain.HostID]time.Time)
	}
	b.askers[from] = now
	// A host that waits asks again only after maxWait or later.
	ttl := max(askerTTL, time.Duration(2*len(b.askers))*time.Second/maxAskRate)
	for host, at := range b.askers {
		if now.Sub(at) > ttl {
			delete(b.askers, host)
		}
	}
	return float64(len(b.askers))
}
