// Package claims executes non-idempotent calls at most once. A claim row in the
// table service, unique by caller and idempotency key, is written before the
// first byte of the call leaves for an upstream; the outcome is written to it
// afterwards. The uniqueness of the row alone makes the promise: nothing rests
// on memory, clocks or membership.
//
// A claim row is in one of three states:
//
//	open      a host holds the claim; the call may have run
//	done      the call ran and the row holds its outcome
//	released  a resend was claimed and certainly not sent; only a sending with
//	          a higher attempt number may claim it again
//
// A first sending that was certainly not sent deletes its row instead.
package claims

import (
	"context"
	"crypto/rand"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
	"greengagespoke/storeguard"
)

const (
	// commitTimeout bounds one transaction.
	commitTimeout = 10 * time.Second
	// readTimeout bounds one read.
	readTimeout = 5 * time.Second
	// sendTimeout bounds a call whose context has no deadline.
	sendTimeout = time.Minute
	// firstPause and maxPause bound the mean pauses between tries.
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// MaxRowBytes is the largest response body that is kept in the claim row;
	// larger ones go to the object store.
	MaxRowBytes = 8 << 10
)

// Config says what a claimer works with.
type Config struct {
	Store   ports.TableService
	Objects ports.ObjectStore
	Host    domain.HostID
	// Clock stamps the claims for operators and for the sweep; nil means the
	// system's clock.
	Clock    ports.Clock
	Counters *counters.Set
	// Retention is how long claims are kept; zero means DefaultRetention.
	Retention time.Duration
}

// Call identifies one non-idempotent call.
type Call struct {
	Caller domain.CallerID
	// Key is the caller's idempotency key.
	Key string
	// Digest is a hash over the call's method, path and body.
	Digest uint64
	// Attempt is 1 for a first sending and larger for each resend; 0 means 1.
	// A refusal that says that the call did not run speaks for all sendings up
	// to this attempt.
	Attempt int
}

// Sender sends the call to an upstream. Its error is a *ports.ServiceError, or a
// *domain.Refusal where there was nothing to send to.
type Sender func(ctx context.Context) (ports.ServiceResponse, error)

// tries bounds the repetitions of each step.
type tries struct {
	claim, settle, wait int
}

// Claimer executes calls for one host. It is safe for use by several goroutines.
type Claimer struct {
	cfg       Config
	count     claimCounters
	committer *committer
	late      *lateOutcomes
	// running says that Run keeps the outcomes, and wake wakes it.
	running atomic.Bool
	wake    chan struct{}
	tries   tries
	nonce   func() string
	pause   func(ctx context.Context, d time.Duration) error
}

// New returns a claimer.
func New(cfg Config) *Claimer {
	if cfg.Clock == nil {
		cfg.Clock = ports.SystemClock{}
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	c := &Claimer{
		cfg:   cfg,
		count: newClaimCounters(cfg.Counters),
		late:  newLateOutcomes(),
		wake:  make(chan struct{}, 1),
		tries: tries{claim: 4, settle: 2, wait: 7},
		nonce: rand.Text,
		pause: sleep,
	}
	c.committer = newCommitter(cfg.Store, c.count)
	return c
}

// Execute claims the call, sends it and keeps its outcome. A call that ran
// before returns the kept outcome. All errors are *domain.Refusal.
func (c *Claimer) Execute(ctx context.Context, call Call, send Sender) (ports.ServiceResponse, error) {
	ctx = storeguard.WithClass(ctx, storeguard.ClassClaims)
	call.Attempt = max(1, call.Attempt)
	if response, ok := c.late.find(call); ok {
		c.count.repeated.Add(1)
		return response, nil
	}
	held, found, refusal := c.acquire(ctx, call)
	switch {
	case refusal != nil:
		return ports.ServiceResponse{}, refusal
	case found != nil:
		return c.answer(ctx, found)
	}
	c.count.claimed.Add(1)
	if err := ctx.Err(); err != nil {
		c.release(ctx, held)
		return ports.ServiceResponse{}, canceled()
	}
	return c.run(ctx, held, send)
}

// run sends a call whose claim is held.
func (c *Claimer) run(ctx context.Context, held claim, send Sender) (ports.ServiceResponse, error) {
	sendCtx, cancel := detached(ctx, sendTimeout)
	defer cancel()
	response, err := send(sendCtx)
	if err == nil {
		c.settle(ctx, held, response)
		return response, nil
	}
	if notSent(err) {
		c.release(ctx, held)
		return ports.ServiceResponse{}, unsent(err)
	}
	c.count.unknown.Add(1)
	return ports.ServiceResponse{}, broken(err)
}

// notSent says whether an error makes sure that nothing left the host.
func notSent(err error) bool {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Ran == domain.RanNo
	}
	var failed *ports.ServiceError
	return errors.As(err, &failed) && !failed.Sent
}

// detached returns a context that goes on when the caller goes, as a call that
// was begun is better finished and its outcome kept. It keeps the deadline, or
// has the given timeout.
func detached(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(free, deadline)
	}
	return context.WithTimeout(free, timeout)
}

func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	pause.Multiplier = 2
	return pause
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
