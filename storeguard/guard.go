// Package storeguard keeps the load that one host puts on the platform's table
// service and object store within the host's share of their rate limits. It wraps
// both services with a write budget with priority classes, a read budget, circuit
// breakers for outages, and jittered exponential backoff for throttled calls.
package storeguard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"greengagespoke/counters"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// DefaultWritesPerSecond is the platform's write limit, for all hosts
	// together, if the configuration sets none.
	DefaultWritesPerSecond = 300
	// DefaultReadsPerSecond is the platform's read limit, for all hosts together,
	// if the configuration sets none.
	DefaultReadsPerSecond = 2000
	// DefaultExpectedHosts is the minimum number of hosts assumed to share the
	// limits if the configuration sets none.
	DefaultExpectedHosts = 9
	// shareUpdateInterval is the minimum time between two updates of the shares
	// to the number of hosts.
	shareUpdateInterval = 100 * time.Millisecond
	// maxBudgetWait bounds the total time that a call waits for the budget and
	// backs off after throttling.
	maxBudgetWait = 2 * time.Second
	// breakerFailureThreshold is the number of consecutive failures that opens a
	// breaker.
	breakerFailureThreshold = 5
	// minBreakerOpen and maxBreakerOpen bound the time that a breaker stays open
	// before it admits one trial call. Each breaker draws its own random time, so
	// that hosts do not return at the same moment.
	minBreakerOpen = time.Second
	maxBreakerOpen = 3 * time.Second
	// initialThrottleBackoff is the mean first backoff after a throttled call.
	initialThrottleBackoff = 100 * time.Millisecond
)

// Config holds the services that a guard wraps and the limits that it applies.
type Config struct {
	Tables  ports.TableService
	Objects ports.ObjectStore
	// WritesPerSecond and ReadsPerSecond are the platform's limits for all hosts
	// together. Zero selects the defaults.
	WritesPerSecond int
	ReadsPerSecond  int
	// ExpectedHosts is the minimum number of hosts assumed to share the limits,
	// because a host that has just started knows of no others yet. Zero selects
	// the default. Hosts returns the number of hosts known now; if it is nil,
	// ExpectedHosts is used alone.
	ExpectedHosts int
	Hosts         func() int
	Counters      *counters.Set
}

// Guard wraps the table service and the object store for one host. It is safe for
// concurrent use.
type Guard struct {
	cfg    Config
	count  guardCounters
	writes *budget
	reads  *budget
	// writeBreaker and readBreaker are separate because the service may serve
	// reads while writes fail.
	writeBreaker *gobreaker.CircuitBreaker[any]
	readBreaker  *gobreaker.CircuitBreaker[any]

	mu              sync.Mutex
	sharesUpdatedAt time.Time
}

// New returns a guard, with defaults for the limits that cfg leaves at zero.
func New(cfg Config) *Guard {
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.ReadsPerSecond <= 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.ExpectedHosts <= 0 {
		cfg.ExpectedHosts = DefaultExpectedHosts
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	g := &Guard{cfg: cfg, count: newGuardCounters(cfg.Counters)}
	hosts := g.hosts()
	g.writes = newBudget(cfg.WritesPerSecond, hosts)
	g.reads = newBudget(cfg.ReadsPerSecond, hosts)
	g.writeBreaker = g.newBreaker("writes")
	g.readBreaker = g.newBreaker("reads")
	return g
}

// Tables returns the guarded table service.
func (g *Guard) Tables() ports.TableService { return guardedTables{g} }

// Objects returns the guarded object store.
func (g *Guard) Objects() ports.ObjectStore { return guardedObjects{g} }

func (g *Guard) newBreaker(name string) *gobreaker.CircuitBreaker[any] {
	return gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:        name,
		MaxRequests: 1,
		Timeout:     minBreakerOpen + rand.N(maxBreakerOpen-minBreakerOpen),
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailureThreshold },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to == gobreaker.StateOpen {
				g.count.opened.Add(1)
			}
		},
		IsSuccessful: func(err error) bool { return !isFailure(err) },
	})
}

// isFailure reports whether an error counts as a failure of the service.
func isFailure(err error) bool {
	return errors.Is(err, ports.ErrStoreDown) || errors.Is(err, ports.ErrStoreUnknown)
}

// hosts returns the number of hosts among which the platform's limits are
// divided.
func (g *Guard) hosts() int {
	n := g.cfg.ExpectedHosts
	if g.cfg.Hosts != nil {
		n = max(n, g.cfg.Hosts())
	}
	return n
}

// updateShares adapts the budgets to the number of hosts, at most once per
// shareUpdateInterval.
func (g *Guard) updateShares() {
	g.mu.Lock()
	due := time.Since(g.sharesUpdatedAt) >= shareUpdateInterval
	if due {
		g.sharesUpdatedAt = time.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	hosts := g.hosts()
	g.writes.setHosts(hosts)
	g.reads.setHosts(hosts)
}

// callGuarded runs one call subject to the budget and the breaker. A call that
// the platform throttled had no effect, so it is retried after a backoff.
func callGuarded[T any](ctx context.Context, g *Guard, b *budget, breaker *gobreaker.CircuitBreaker[any], class Class, call func() (T, error)) (T, error) {
	var zero T
	g.updateShares()
	deadline := time.Now().Add(maxBudgetWait)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialThrottleBackoff
	for {
		if breaker.State() == gobreaker.StateOpen {
			g.count.refused.Add(1)
			return zero, fmt.Errorf("%w: calls wait until the service recovers", ports.ErrStoreDown)
		}
		if err := b.acquire(ctx, class, deadline); err != nil {
			g.count.overBudget.Add(1)
			return zero, err
		}
		result, err := breaker.Execute(func() (any, error) { return call() })
		switch {
		case errors.Is(err, gobreaker.ErrOpenState), errors.Is(err, gobreaker.ErrTooManyRequests):
			g.count.refused.Add(1)
			return zero, fmt.Errorf("%w: calls wait until the service recovers", ports.ErrStoreDown)
		case errors.Is(err, ports.ErrStoreThrottled):
			g.count.throttled.Add(1)
			b.onThrottled()
			if sleepUntil(ctx, pause.NextBackOff(), deadline) != nil {
				return zero, err
			}
		case err != nil:
			g.count.failures.Add(1)
			b.onFailure(err)
			return zero, err
		default:
			return result.(T), nil
		}
	}
}

// sleepUntil sleeps for d. It returns an error if the context ends first, or at
// once if the deadline would pass during the sleep.
func sleepUntil(ctx context.Context, d time.Duration, deadline time.Time) error {
	if time.Until(deadline) < d {
		return context.DeadlineExceeded
	}
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
