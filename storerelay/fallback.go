package storerelay

import (
	"math/rand/v2"
	"sync"
	"time"
)

// fallbackInterval is the mean time between two calls to a failing store by a host that otherwise
// reads the copies of others. It is a small part of the time within which a change must be applied in
// a large fleet.
const fallbackInterval = 800 * time.Millisecond

// Fallback decides when a host may read the store itself because no other host has a recent copy. The
// load that it answers: the store fails, so that all copies are too old at once, and all hosts of a
// large fleet would repeat their calls for every table at the store that a few hosts read otherwise.
// While calls succeed there is no limit. It is safe for concurrent use.
type Fallback struct {
	mu sync.Mutex
	// retryAt is when the next call may be made, or zero if the last one succeeded.
	retryAt time.Time
}

// Allow reports whether a call may be made now. The others wait while it is under way.
func (f *Fallback) Allow(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryAt.IsZero() {
		return true
	}
	if now.Before(f.retryAt) {
		return false
	}
	f.retryAt = now.Add(fallbackDelay())
	return true
}

// Record records whether the store answered a call.
func (f *Fallback) Record(answered bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case answered:
		f.retryAt = time.Time{}
	case !now.Before(f.retryAt):
		f.retryAt = now.Add(fallbackDelay())
	}
}

// fallbackDelay differs between hosts, as the store fails for all of them at the same moment.
func fallbackDelay() time.Duration { return fallbackInterval/2 + rand.N(fallbackInterval) }
