// Package pause waits under a context.
package pause

import (
	"context"
	"time"
)

// shortest is the shortest time of a timer. A timer that is due when it is made
// has crashed the runtime in virtual time under the race detector.
const shortest = time.Microsecond

// For waits for d and returns false where ctx ended first. It makes no timer
// where d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewTimer returns a timer that fires after d, or at once where d is not
// positive.
func NewTimer(d time.Duration) *time.Timer {
	return time.NewTimer(max(d, shortest))
}

// AfterFunc calls f in its own goroutine after d.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, shortest), f)
}
