package storeguard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// usableLimitShare is the fraction of the platform's limit that the shares of
	// all hosts add up to.
	usableLimitShare = 0.8
	// burstSeconds is the burst size, in seconds of the current rate.
	burstSeconds = 0.25
	// maxShareMultiple bounds a host's rate, as a multiple of its share.
	maxShareMultiple = 8
	// shareGrowthStep is the rate increase for each second in which calls had to
	// wait, as a fraction of the share.
	shareGrowthStep = 0.05
	// minGrowthDelay and maxGrowthDelay bound the random time without throttling
	// or failures after which a host's rate may grow above its share.
	minGrowthDelay = 30 * time.Second
	maxGrowthDelay = 60 * time.Second
	// Every lowestClassInterval-th grant goes to the lowest waiting class.
	lowestClassInterval = 8
)

// budget is a rate limiter for the calls of one host. Its base rate is the host's
// share of the platform's limit. The rate grows with demand, to use what other
// hosts leave unused, and returns to the share as soon as the platform throttles
// a call or fails.
type budget struct {
	platformLimit float64

	mu        sync.Mutex
	limiter   *rate.Limiter
	hostShare float64
	// nextGrowthAt is the earliest time of the next rate increase.
	nextGrowthAt time.Time
	queues       [classCount][]*waiter
	turns        int
	timer        *time.Timer
}

// waiter is a call that waits for the budget.
type waiter struct {
	granted chan struct{}
}

func newBudget(platformPerSecond, hosts int) *budget {
	b := &budget{platformLimit: float64(platformPerSecond), limiter: rate.NewLimiter(1, 1)}
	b.setHosts(hosts)
	b.resetToShare()
	return b
}

// setHosts sets the host's share for the given number of hosts.
func (b *budget) setHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hostShare := b.platformLimit * usableLimitShare / float64(max(1, hosts))
	if hostShare == b.hostShare {
		return
	}
	b.hostShare = hostShare
	b.setRate(hostShare)
}

func (b *budget) setRate(perSecond float64) {
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(1, int(perSecond*burstSeconds)))
}

// resetToShare lowers the rate to the share and delays further growth. The caller
// holds the lock, except during construction.
func (b *budget) resetToShare() {
	b.setRate(b.hostShare)
	b.nextGrowthAt = time.Now().Add(minGrowthDelay + rand.N(maxGrowthDelay-minGrowthDelay))
}

// onThrottled resets the rate after the platform rejected a call because of its
// rate limit.
func (b *budget) onThrottled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetToShare()
}

// onFailure resets the rate after the platform failed. Other errors are ignored.
func (b *budget) onFailure(err error) {
	if !isFailure(err) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetToShare()
}

// acquire waits until the budget admits one call. It returns an error that wraps
// ports.ErrStoreThrottled when the context ends or the deadline passes first;
// nothing was sent in that case.
func (b *budget) acquire(ctx context.Context, class Class, deadline time.Time) error {
	b.mu.Lock()
	if b.noWaiters() && b.limiter.Allow() {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{granted: make(chan struct{})}
	b.queues[class] = append(b.queues[class], w)
	b.scheduleDispatch()
	b.mu.Unlock()

	timer := pause.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.cancelWait(class, w, ctx.Err())
	case <-timer.C:
		return b.cancelWait(class, w, errOverBudget)
	}
}

// errOverBudget means that the budget did not admit a call before its deadline.
var errOverBudget = errors.New("this host's share of the platform's rate limit is used up")

// cancelWait removes a waiter from its queue and returns the error for its call.
// It returns nil if the waiter was granted in the meantime, so that the call
// proceeds.
func (b *budget) cancelWait(class Class, w *waiter, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queues[class] {
		if other == w {
			b.queues[class] = append(b.queues[class][:i], b.queues[class][i+1:]...)
			return fmt.Errorf("%w: %w", ports.ErrStoreThrottled, cause)
		}
	}
	return nil
}

func (b *budget) noWaiters() bool {
	for _, queue := range b.queues {
		if len(queue) > 0 {
			return false
		}
	}
	return true
}

// scheduleDispatch starts the timer for the next grant, unless it is already
// running. The caller holds the lock.
func (b *budget) scheduleDispatch() {
	if b.timer != nil || b.noWaiters() {
		return
	}
	next := b.limiter.Reserve()
	delay := next.Delay()
	next.Cancel()
	b.timer = pause.AfterFunc(delay, b.dispatch)
}

// dispatch grants waiting calls as far as the rate allows.
func (b *budget) dispatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	for !b.noWaiters() && b.limiter.Allow() {
		close(b.popNext().granted)
		b.grow()
	}
	b.scheduleDispatch()
}

// popNext removes and returns the next waiter. The highest class goes first,
// except that every lowestClassInterval-th grant goes to the lowest, so that no
// class starves.
func (b *budget) popNext() *waiter {
	b.turns++
	class := b.highestWaitingClass()
	if b.turns%lowestClassInterval == 0 {
		class = b.lowestWaitingClass()
	}
	w := b.queues[class][0]
	b.queues[class] = b.queues[class][1:]
	return w
}

func (b *budget) highestWaitingClass() int {
	for class := range classCount {
		if len(b.queues[class]) > 0 {
			return class
		}
	}
	return 0
}

func (b *budget) lowestWaitingClass() int {
	for class := classCount - 1; class > 0; class-- {
		if len(b.queues[class]) > 0 {
			return class
		}
	}
	return 0
}

// grow raises the rate by one step after a call had to wait, at most once a
// second and not before nextGrowthAt.
func (b *budget) grow() {
	now := time.Now()
	if now.Before(b.nextGrowthAt) {
		return
	}
	b.nextGrowthAt = now.Add(time.Second)
	current := float64(b.limiter.Limit())
	b.setRate(min(current+b.hostShare*shareGrowthStep, b.hostShare*maxShareMultiple, b.platformLimit*usableLimitShare))
}
