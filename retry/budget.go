// Package retry limits retries to a share of successes, so that retries cannot
// multiply an overload.
package retry

import "sync"

const (
	// budgetReserve is the number of retries that a budget allows before any
	// success, and the most that it saves up.
	budgetReserve = 10
	// percent is the number of budget units in one retry.
	percent = 100
)

// Budget is the retry budget of one route. The zero value allows the reserve
// and earns nothing. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	started bool
	// units is the saved budget in hundredths of a retry.
	units int
}

// Success earns a share of a retry, in percent.
func (b *Budget) Success(sharePercent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.units = min(b.units+sharePercent, budgetReserve*percent)
}

// Take spends one retry. It returns false where the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.units < percent {
		return false
	}
	b.units -= percent
	return true
}

func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.units = budgetReserve * percent
	}
}
