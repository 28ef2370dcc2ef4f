//go:build !race

package fleet

import "time"

const raceEnabled = false

// shortDuration is the length of the traces in TestTracesShort.
const shortDuration = 30 * time.Second
