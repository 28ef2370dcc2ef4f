// Package storeguard keeps the load that one host puts on the platform's table
// service and object store within the host's share of their limits. It wraps the
// two services with a write budget by class of work, a read budget, a circuit
// breaker for outages, and jittered back-off where a rate limit is hit.
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
	// DefaultWritesPerSecond is the platform's limit for writes where the
	// configuration has none.
	DefaultWritesPerSecond = 300
	// DefaultReadsPerSecond is the platform's limit for reads where the
	// configuration has none.
	DefaultReadsPerSecond = 2000
	// DefaultExpectedHosts is the least number of hosts that share the limits where
	// the configuration has none.
	DefaultExpectedHosts = 9
	// resizeInterval is the least time between two adaptions to the number of
	// hosts.
	resizeInterval = 100 * time.Millisecond
	// budgetWait bounds the wait for the budget and the retries after a hit rate
	// limit.
	budgetWait = 2 * time.Second
	// tripFailures is the number of consecutive failures that open the breaker.
	tripFailures = 5
	// openMin and openMax bound the time that a breaker stays open before it lets
	// one call through. Each breaker draws its own, so that hosts do not come
	// back together.
	openMin = time.Second
	openMax = 3 * time.Second
	// throttleBackoff is the mean first pause after a hit rate limit.
	throttleBackoff = 100 * time.Millisecond
)

// Config says what a guard wraps and within which limits.
type Config struct {
	Tables  ports.TableService
	Objects ports.ObjectStore
	// WritesPerSecond and ReadsPerSecond are the limits of the platform for all
	// hosts together; zero means the defaults.
	WritesPerSecond int
	ReadsPerSecond  int
	// ExpectedHosts is the least number of hosts that share the limits; zero means
	// the default. A host that has just started knows no others yet. Hosts is the
	// number that is known now; nil means ExpectedHosts.
	ExpectedHosts int
	Hosts         func() int
	Counters      *counters.Set
}

// Guard wraps the table service and the object store of one host.
type Guard struct {
	cfg    Config
	count  guardCounters
	writes *budget
	reads  *budget
	// writeBreaker and readBreaker stand apart, as the service may serve reads
	// while writes fail.
	writeBreaker *gobreaker.CircuitBreaker[any]
	readBreaker  *gobreaker.CircuitBreaker[any]

	mu      sync.Mutex
	resized time.Time
}

// New returns a guard.
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
		Timeout:     openMin + rand.N(openMax-openMin),
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripFailures },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to == gobreaker.StateOpen {
				g.count.opened.Add(1)
			}
		},
		IsSuccessful: func(err error) bool { return !isFailure(err) },
	})
}

// isFailure says whether an error counts as a failure of the service.
func isFailure(err error) bool {
	return errors.Is(err, ports.ErrStoreDown) || errors.Is(err, ports.ErrStoreUnknown)
}

// hosts returns the number of hosts that share the platform's limits.
func (g *Guard) hosts() int {
	n := g.cfg.ExpectedHosts
	if g.cfg.Hosts != nil {
		n = max(n, g.cfg.Hosts())
	}
	return n
}

// resize adapts the budgets to the number of hosts, at most once in
// resizeInterval.
func (g *Guard) resize() {
	g.mu.Lock()
	due := time.Since(g.resized) >= resizeInterval
	if due {
		g.resized = time.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	hosts := g.hosts()
	g.writes.share(hosts)
	g.reads.share(hosts)
}

// guarded runs one call within budget and breaker. A call that hits the
// platform's rate limit did nothing, so it is repeated after a pause.
func guarded[T any](ctx context.Context, g *Guard, b *budget, breaker *gobreaker.CircuitBreaker[any], class Class, call func() (T, error)) (T, error) {
	var none T
	g.resize()
	deadline := time.Now().Add(budgetWait)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = throttleBackoff
	for {
		if breaker.State() == gobreaker.StateOpen {
			g.count.refused.Add(1)
			return none, fmt.Errorf("%w: calls wait until the service recovers", ports.ErrStoreDown)
		}
		if err := b.take(ctx, class, deadline); err != nil {
			g.count.overBudget.Add(1)
			return none, err
		}
		result, err := breaker.Execute(func() (any, error) { return call() })
		switch {
		case errors.Is(err, gobreaker.ErrOpenState), errors.Is(err, gobreaker.ErrTooManyRequests):
			g.count.refused.Add(1)
			return none, fmt.Errorf("%w: calls wait until the service recovers", ports.ErrStoreDown)
		case errors.Is(err, ports.ErrStoreThrottled):
			g.count.throttled.Add(1)
			b.throttled()
			if sleepUntil(ctx, pause.NextBackOff(), deadline) != nil {
				return none, err
			}
		case err != nil:
			g.count.failures.Add(1)
			b.failed(err)
			return none, err
		default:
			return result.(T), nil
		}
	}
}

// sleepUntil waits for d, unless the context ends or the deadline passes first.
func sleepUntil(ctx context.Context, d time.Duration, deadline time.Time) error {
	if time.Until(deadline) < d {
		return context.DeadlineExceeded
	}
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
