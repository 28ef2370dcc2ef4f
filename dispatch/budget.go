package dispatch

import (
	"sync"
	"time"

	"greengagespoke/traffic"

)

const (
	// budgetMargin is the part of the shared budget that is used. The rest is for
	// hosts that are counted late.
	budgetMargin = 0.8
	// budgetBuckets is the number of parts that a window is counted in.
	budgetBuckets = 20
)

// BudgetConfig bounds the repeated sends to a service by all hosts together: in
// any window, Ratio times the requests plus Extra.
type BudgetConfig struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
	// Hosts returns the number of hosts that share the budget.
	Hosts func() int
}

// Budget is this host's share of the budget. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	services map[traffic.ServiceName]*sends
}

// sends counts the sends to one service in a sliding window.
type sends struct {
	at       int64
	requests [budgetBuckets]int
	repeats  [budgetBuckets]int
}

// NewBudget returns a budget with nothing spent.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, services: make(map[traffic.ServiceName]*sends)}
}

// Request counts a caller's request to a service.
func (b *Budget) Request(service traffic.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service, now)
	s.requests[s.at%budgetBuckets]++
}

// Take spends one repeated send. It returns false where the share is used up.
func (b *Budget) Take(service traffic.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service, now)
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	share := b.cfg.Ratio*float64(requests) + b.cfg.Extra/float64(max(1, b.cfg.Hosts()))
	if float64(repeats+1) > budgetMargin*share {
		return false
	}
	s.repeats[s.at%budgetBuckets]++
	return true
}

// advance returns the counts of a service with the parts that have passed out of
// the window cleared. The caller holds the lock.
func (b *Budget) advance(service traffic.ServiceName, now time.Time) *sends {
	s := b.services[service]
	at := now.UnixNano() / int64(b.cfg.Window/(budgetBuckets-1))
	if s == nil {
		s = &sends{at: at}
		b.services[service] = s
	}
	for range min(at-s.at, budgetBuckets) {
		s.at++
		s.requests[s.at%budgetBuckets], s.repeats[s.at%budgetBuckets] = 0, 0
	}
	s.at = max(s.at, at)
	return s
}
