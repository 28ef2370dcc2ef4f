//go:build race

package fleet

import "time"

const raceEnabled = true

// shortDuration is the length of the traces in TestTracesShort.
const shortDuration = 6 * time.Second
