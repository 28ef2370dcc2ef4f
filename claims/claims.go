// Package claims executes non-idempotent calls at most once. Before the first
// byte of a call is sent to an upstream, a claim row is written to the table
// service, unique by caller and idempotency key; the outcome is written to the
// same row afterwards. The at-most-once guarantee depends only on the uniqueness
// of the row, not on memory, clocks or membership.
//
// A claim row is in one of three states:
//
//	open      a host holds the claim; the call may have run
//	done      the call ran and the row holds its outcome
//	released  a resend was claimed and certainly not sent; only an attempt with
//	          a higher attempt number may claim the call again
//
// A first attempt that was certainly not sent deletes its row instead.
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
	// commitTimeout bounds one transaction or one write to the object store.
	commitTimeout = 10 * time.Second
	// readTimeout bounds one read of the table service or the object store.
	readTimeout = 5 * time.Second
	// sendTimeout bounds a call whose context has no deadline.
	sendTimeout = time.Minute
	// initialBackoff and maxBackoff bound the mean backoff between tries.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// MaxInlineBodyBytes is the largest response body in bytes that is stored in
	// the claim row. Larger ones go to the object store.
	MaxInlineBodyBytes = 8 << 10
)

// Config holds the dependencies and settings of a Claimer.
type Config struct {
	Store   ports.TableService
	Objects ports.ObjectStore
	Host    domain.HostID
	// Clock provides the timestamps of claims, which operators and the sweep
	// read; nil means the system clock.
	Clock    ports.Clock
	Counters *counters.Set
	// Retention is how long claims are kept; zero or less means
	// DefaultRetention.
	Retention time.Duration
}

// Call identifies one non-idempotent call.
type Call struct {
	Caller domain.CallerID
	// Key is the caller's idempotency key.
	Key string
	// Digest is a hash over the call's method, path and body.
	Digest uint64
	// Attempt is 1 for the first attempt and larger for each resend; 0 means 1.
	// A refusal that says that the call did not run covers all attempts up to
	// this number.
	Attempt int
}

// Sender sends the call to an upstream. Its error is a *ports.ServiceError, or a
// *domain.Refusal where no upstream was available.
type Sender func(ctx context.Context) (ports.ServiceResponse, error)

// tryLimits bounds the number of tries of a step: to write a claim, to record an
// outcome or release a claim, and to poll the row of another attempt.
type tryLimits struct {
	claim, record, poll int
}

// Claimer executes calls for one host. It is safe for concurrent use.
type Claimer struct {
	cfg       Config
	count     claimCounters
	committer *committer
	pending   *pendingOutcomes
	// running is set while Run stores pending outcomes in the background; wake
	// makes it do so at once.
	running   atomic.Bool
	wake      chan struct{}
	tryLimits tryLimits
	nonce     func() string
	sleep     func(ctx context.Context, d time.Duration) error
}

// New returns a Claimer with the given configuration.
func New(cfg Config) *Claimer {
	if cfg.Clock == nil {
		cfg.Clock = ports.SystemClock{}
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	c := &Claimer{
		cfg:       cfg,
		count:     newClaimCounters(cfg.Counters),
		pending:   newPendingOutcomes(),
		wake:      make(chan struct{}, 1),
		tryLimits: tryLimits{claim: 4, record: 2, poll: 7},
		nonce:     rand.Text,
		sleep:     sleep,
	}
	c.committer = newCommitter(cfg.Store, c.count)
	return c
}

// Execute claims the call, sends it and stores its outcome. For a call that has
// already run, it returns the stored outcome. All errors are *domain.Refusal.
func (c *Claimer) Execute(ctx context.Context, call Call, send Sender) (ports.ServiceResponse, error) {
	ctx = storeguard.WithClass(ctx, storeguard.ClassClaims)
	call.Attempt = max(1, call.Attempt)
	if response, ok := c.pending.find(call); ok {
		c.count.repeated.Add(1)
		return response, nil
	}
	held, finished, refusal := c.acquire(ctx, call)
	switch {
	case refusal != nil:
		return ports.ServiceResponse{}, refusal
	case finished != nil:
		return c.loadOutcome(ctx, finished)
	}
	c.count.claimed.Add(1)
	if err := ctx.Err(); err != nil {
		c.release(ctx, held)
		return ports.ServiceResponse{}, canceled()
	}
	return c.run(ctx, held, send)
}

// run sends a call whose claim is held. It records the outcome, releases the
// claim if the call was certainly not sent, or leaves it open.
func (c *Claimer) run(ctx context.Context, held heldClaim, send Sender) (ports.ServiceResponse, error) {
	sendCtx, cancel := detached(ctx, sendTimeout)
	defer cancel()
	response, err := send(sendCtx)
	if err == nil {
		c.recordOutcome(ctx, held, response)
		return response, nil
	}
	if notSent(err) {
		c.release(ctx, held)
		return ports.ServiceResponse{}, notDelivered(err)
	}
	c.count.unknown.Add(1)
	return ports.ServiceResponse{}, interrupted(err)
}

// notSent reports whether an error proves that nothing of the call was sent.
func notSent(err error) bool {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Ran == domain.RanNo
	}
	var failed *ports.ServiceError
	return errors.As(err, &failed) && !failed.Sent
}

// detached returns a context that a disconnected caller does not cancel, because
// a call that has started should be completed and its outcome stored. The context
// keeps the deadline of ctx, or has the given timeout.
func detached(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	uncanceled := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(uncanceled, deadline)
	}
	return context.WithTimeout(uncanceled, timeout)
}

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	policy.Multiplier = 2
	return policy
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
