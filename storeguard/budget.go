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
	// headroom is the part of the platform's limit that all hosts use together
	// with their plain shares.
	headroom = 0.8
	// burstSeconds is the length of the bursts that a share allows.
	burstSeconds = 0.25
	// surgeFactor bounds a host's rate in multiples of its share.
	surgeFactor = 8
	// surgeStep is the growth of the rate in each second in which calls had to
	// wait, as a part of the share.
	surgeStep = 0.05
	// calmMin and calmMax bound the time without trouble before a host's rate
	// grows above its share.
	calmMin = 30 * time.Second
	calmMax = 60 * time.Second
	// fairTurn gives each turn of this number to the lowest waiting class.
	fairTurn = 8
)

// budget hands out the calls that a host may make. Its rate is the host's share
// of the platform's limit. While others leave theirs unused, it grows with
// demand, and falls back to the share as soon as the platform refuses a call or
// fails.
type budget struct {
	platform float64

	mu      sync.Mutex
	limiter *rate.Limiter
	floor   float64
	// growAt is when the rate may grow again.
	growAt time.Time
	queues [classCount][]*waiter
	turn   int
	timer  *time.Timer
}

// waiter is one call that waits for the budget.
type waiter struct {
	granted chan struct{}
}

func newBudget(platformPerSecond, hosts int) *budget {
	b := &budget{platform: float64(platformPerSecond), limiter: rate.NewLimiter(1, 1)}
	b.share(hosts)
	b.restart()
	return b
}

// share sets the host's share of the platform's limit.
func (b *budget) share(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	floor := b.platform * headroom / float64(max(1, hosts))
	if floor == b.floor {
		return
	}
	b.floor = floor
	b.setRate(floor)
}

func (b *budget) setRate(perSecond float64) {
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(1, int(perSecond*burstSeconds)))
}

// restart falls back to the share.
func (b *budget) restart() {
	b.setRate(b.floor)
	b.growAt = time.Now().Add(calmMin + rand.N(calmMax-calmMin))
}

// throttled notes that the platform refused a call because of its rate limit.
func (b *budget) throttled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart()
}

// failed notes a failure of the platform.
func (b *budget) failed(err error) {
	if !isFailure(err) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart()
}

// take waits for a place in the budget. The error wraps ports.ErrStoreThrottled;
// nothing was sent then.
func (b *budget) take(ctx context.Context, class Class, deadline time.Time) error {
	b.mu.Lock()
	if b.empty() && b.limiter.Allow() {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{granted: make(chan struct{})}
	b.queues[class] = append(b.queues[class], w)
	b.arm()
	b.mu.Unlock()

	timer := pause.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.leave(class, w, ctx.Err())
	case <-timer.C:
		return b.leave(class, w, errOverBudget)
	}
}

// errOverBudget means that the budget had no place in time.
var errOverBudget = errors.New("this host's share of the platform's rate limit is used up")

// leave takes a waiter out of its queue. A waiter that was granted meanwhile
// goes on.
func (b *budget) leave(class Class, w *waiter, cause error) error {
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

func (b *budget) empty() bool {
	for _, queue := range b.queues {
		if len(queue) > 0 {
			return false
		}
	}
	return true
}

// arm starts the timer for the next place, unless it runs already.
func (b *budget) arm() {
	if b.timer != nil || b.empty() {
		return
	}
	next := b.limiter.Reserve()
	delay := next.Delay()
	next.Cancel()
	b.timer = pause.AfterFunc(delay, b.dispatch)
}

// dispatch grants the places that are free.
func (b *budget) dispatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	for !b.empty() && b.limiter.Allow() {
		close(b.next().granted)
		b.grow()
	}
	b.arm()
}

// next takes the next waiter: the highest class first, but now and then the
// lowest, so that no class starves.
func (b *budget) next() *waiter {
	b.turn++
	class := b.highest()
	if b.turn%fairTurn == 0 {
		class = b.lowest()
	}
	w := b.queues[class][0]
	b.queues[class] = b.queues[class][1:]
	return w
}

func (b *budget) highest() int {
	for class := range classCount {
		if len(b.queues[class]) > 0 {
			return class
		}
	}
	return 0
}

func (b *budget) lowest() int {
	for class := classCount - 1; class > 0; class-- {
		if len(b.queues[class]) > 0 {
			return class
		}
	}
	return 0
}

// grow raises the rate a little after a call had to wait in calm times, at most
// once a second.
func (b *budget) grow() {
	now := time.Now()
	if now.Before(b.growAt) {
		return
	}
	b.growAt = now.Add(time.Second)
	current := float64(b.limiter.Limit())
	b.setRate(min(current+b.floor*surgeStep, b.floor*surgeFactor, b.platform*headroom))
}
