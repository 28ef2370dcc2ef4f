// Package retry limits retries to a share of the successful requests, so that retries
// cannot amplify an overload.
package retry

import "sync"

const (
	// maxSavedRetries is the capacity of a budget in retries. A new budget is full, so
	// this is also the number of retries allowed before any success.
	maxSavedRetries = 10
	// unitsPerRetry is the number of budget units that one retry costs: a unit is a
	// hundredth of a retry, as shares are given in percent.
	unitsPerRetry = 100
)

// Budget is the retry budget of one route. The zero value is a full budget, to which
// only Success adds. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	initialized bool
	// units is the remaining budget in hundredths of a retry.
	units int
}

// Success records a successful request, which adds sharePercent hundredths of a retry
// to the budget, up to its capacity.
func (b *Budget) Success(sharePercent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.units = min(b.units+sharePercent, maxSavedRetries*unitsPerRetry)
}

// Take spends one retry. It returns false if the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.units < unitsPerRetry {
		return false
	}
	b.units -= unitsPerRetry
	return true
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.units = maxSavedRetries * unitsPerRetry
	}
}
