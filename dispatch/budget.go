package dispatch

import (
	"sync"
	"time"

	"greengagespoke/traffic"
)

const (
	// usableBudgetShare is the fraction of the shared budget that hosts spend. The
	// rest covers hosts that are not counted yet.
	usableBudgetShare = 0.8
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 20
)

// BudgetLimits bounds the retries that all hosts together send to a service: in any
// Window, at most Ratio times the number of requests, plus Extra.
type BudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Budget is this host's share of the retry budget of each service. It is safe for
// concurrent use.
type Budget struct {
	// hosts returns the number of hosts that share the budget.
	hosts func() int

	mu       sync.Mutex
	limits   BudgetLimits
	services map[traffic.ServiceName]*windowCounts
}

// windowCounts counts the requests and retries to one service in a sliding window.
type windowCounts struct {
	// bucket is the number of the current bucket since the Unix epoch.
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewBudget returns an unspent budget. It allows no retries until Set is called.
// hosts returns the number of hosts that share the budget.
func NewBudget(hosts func() int) *Budget {
	return &Budget{hosts: hosts, services: make(map[traffic.ServiceName]*windowCounts)}
}

// Set applies limits. If the length of the window changes, all counts are reset.
func (b *Budget) Set(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.services)
	}
	b.limits = limits
}

// RecordRequest counts a caller's request to a service.
func (b *Budget) RecordRequest(service traffic.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service, now)
	s.requests[s.bucket%windowBuckets]++
}

// TakeRetry spends one retry. It returns false if this host's share is used up.
func (b *Budget) TakeRetry(service traffic.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service, now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	share := b.limits.Ratio*float64(requests) + b.limits.Extra/float64(max(1, b.hosts()))
	if float64(retries+1) > usableBudgetShare*share {
		return false
	}
	s.retries[s.bucket%windowBuckets]++
	return true
}

// advance returns the counts of a service after clearing the buckets that have
// left the window. The caller holds the lock.
func (b *Budget) advance(service traffic.ServiceName, now time.Time) *windowCounts {
	s := b.services[service]
	at := now.UnixNano() / int64(max(b.limits.Window, time.Second)/(windowBuckets-1))
	if s == nil {
		s = &windowCounts{bucket: at}
		b.services[service] = s
	}
	for range min(at-s.bucket, windowBuckets) {
		s.bucket++
		s.requests[s.bucket%windowBuckets], s.retries[s.bucket%windowBuckets] = 0, 0
	}
	s.bucket = max(s.bucket, at)
	return s
}
