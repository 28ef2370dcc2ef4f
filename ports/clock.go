package ports

import "time"

// Clock reads the wall clock of a host. Tests replace it to simulate clock skew
// between hosts.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock that reads the operating system's wall clock.
type SystemClock struct{}

// Now returns the current wall clock time.
func (SystemClock) Now() time.Time { return time.Now() }
