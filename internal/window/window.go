// Package window counts events in sliding windows, for checks of rates.
package window

import "time"

// Busiest returns the largest number of events in a window of a length that begins at one of
// them, at the time from or later. The events must be in order of time.
func Busiest(events []time.Time, length time.Duration, from time.Time) int {
	most, end := 0, 0
	for i, at := range events {
		if at.Before(from) {
			continue
		}
		for end < len(events) && events[end].Sub(at) < length {
			end++
		}
		most = max(most, end-i)
	}
	return most
}
