package ports

import "time"

// Clock reads the wall clock of a host. Tests replace it to skew hosts against
// each other.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's wall clock.
type SystemClock struct{}

// Now returns the current wall clock time.
func (SystemClock) Now() time.Time { return time.Now() }
