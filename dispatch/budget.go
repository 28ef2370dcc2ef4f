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

// BudgetLimits bound the repeated sends to a service by all hosts together: in any
// window, Ratio times the requests plus Extra.
type BudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Budget is this host's share of the budget. It is safe for concurrent use.
type Budget struct {
	// hosts returns the number of hosts that share the budget.
	hosts func() int

	mu       sync.Mutex
	limits   BudgetLimits
	services map[traffic.ServiceName]*sends
}

// sends counts the sends to one service in a sliding window.
type sends struct {
	at       int64
	requests [budgetBuckets]int
	repeats  [budgetBuckets]int
}

// NewBudget returns a budget with nothing spent, which allows nothing before Set.
// hosts returns the number of hosts that share it.
func NewBudget(hosts func() int) *Budget {
	return &Budget{hosts: hosts, services: make(map[traffic.ServiceName]*sends)}
}

// Set puts limits in force. What was spent in a window of another length is
// forgotten.
func (b *Budget) Set(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.services)
	}
	b.limits = limits
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
	share := b.limits.Ratio*float64(requests) + b.limits.Extra/float64(max(1, b.hosts()))
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
	at := now.UnixNano() / int64(max(b.limits.Window, time.Second)/(budgetBuckets-1))
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
