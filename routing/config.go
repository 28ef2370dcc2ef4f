package routing

import (
	"context"
	"time"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/ports"
)

// Timing holds the timeouts and intervals of a Gate. A field that is zero
// takes its default.
type Timing struct {
	// RenewInterval is the interval between renewals of held grants.
	// Default 2 s.
	RenewInterval time.Duration
	// PrefillTimeout limits one prefill call. Default 15 s.
	PrefillTimeout time.Duration
	// FrameStallTimeout is how long a decode stream may deliver no frame
	// before it is resumed. Default 2 s.
	FrameStallTimeout time.Duration
	// FrameGapTimeout is how long later frames are buffered for a missing one
	// before the stream is resumed. Default 250 ms.
	FrameGapTimeout time.Duration
	// KeeperRetryDelay is the mean delay before the keeper is called again
	// after a failure. Default 100 ms.
	KeeperRetryDelay time.Duration
	// KeeperLossTimeout is how long an interactive request tries to reach a
	// keeper before it is rejected. Default 3 s.
	KeeperLossTimeout time.Duration
	// CancelTimeout limits one cancel, withdraw or release call. Default 1 s.
	CancelTimeout time.Duration
	// CancelRetryTimeout is how long failed cancel calls are retried. After
	// that, the keeper frees the memory when it finds the attempt in the
	// engine's list. Default 8 s, which is longer than the TTL of a grant.
	CancelRetryTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.RenewInterval, 2*time.Second)
	setDefault(&t.PrefillTimeout, 15*time.Second)
	setDefault(&t.FrameStallTimeout, 2*time.Second)
	setDefault(&t.FrameGapTimeout, 250*time.Millisecond)
	setDefault(&t.KeeperRetryDelay, 100*time.Millisecond)
	setDefault(&t.KeeperLossTimeout, 3*time.Second)
	setDefault(&t.CancelTimeout, time.Second)
	setDefault(&t.CancelRetryTimeout, 8*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Quarantine tracks requests whose processing crashed upstreams.
type Quarantine interface {
	// Check returns a refusal if the request must not run now, or nil.
	Check(request uint64, parts ...uint64) *domain.Refusal
	// Suspect reports whether an upstream crashed while it ran the request.
	Suspect(fingerprint uint64) bool
	// RecordCrash adds a strike to each request that ran on a crashed upstream.
	RecordCrash(upstream domain.UpstreamID, requests []uint64, parts ...uint64)
	// Clear clears a request that completed without a crash.
	Clear(request uint64, parts ...uint64)
}

// LeavingUpstreams reports which upstreams are about to stop.
type LeavingUpstreams interface {
	Leaving(id domain.UpstreamID) bool
}

// Claims executes non-idempotent calls at most once.
type Claims interface {
	// Execute calls send unless the call has already been executed.
	Execute(ctx context.Context, call claims.Call, send claims.Sender) (ports.ServiceResponse, error)
}

// Config holds the dependencies and settings of a Gate. All fields except
// Scope, Timing and Rand are required.
type Config struct {
	Tables     ports.TableView
	Membership ports.Membership
	Peers      ports.Peers
	Upstreams  ports.Upstreams
	Quarantine Quarantine
	Claims     Claims
	Leaving    LeavingUpstreams
	Counters   *counters.Set
	// Scope determines how upstreams are divided into groups. Default
	// groups.ScopeRegion.
	Scope  groups.Scope
	Timing Timing
	// Rand returns a random number in [0, n). Default rand.Int64N. Replays set
	// it to make their runs reproducible.
	Rand func(n int64) int64
}
