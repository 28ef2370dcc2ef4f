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

// Timing holds the time limits of a gate. The zero value of a field takes the
// default.
type Timing struct {
	// Renew is the interval at which held grants are renewed. Default 2 s.
	Renew time.Duration
	// Prefill bounds one prefill call. Default 15 s.
	Prefill time.Duration
	// FrameStall is how long a decode stream may be silent before it is resumed.
	// Default 2 s.
	FrameStall time.Duration
	// FrameGap is how long later frames wait for a missing one before the
	// stream is resumed. Default 250 ms.
	FrameGap time.Duration
	// KeeperRetry is the mean pause before a keeper is asked again after a
	// failure. Default 100 ms.
	KeeperRetry time.Duration
	// KeeperLoss is how long an interactive request looks for a keeper before it
	// is refused. Default 3 s.
	KeeperLoss time.Duration
	// Cancel bounds one cancel call. Default 1 s.
	Cancel time.Duration
	// CancelGiveUp is how long cancels are repeated before the keeper's listing
	// is left to free the memory. Default 8 s, longer than the term of a grant.
	CancelGiveUp time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Renew, 2*time.Second)
	setDefault(&t.Prefill, 15*time.Second)
	setDefault(&t.FrameStall, 2*time.Second)
	setDefault(&t.FrameGap, 250*time.Millisecond)
	setDefault(&t.KeeperRetry, 100*time.Millisecond)
	setDefault(&t.KeeperLoss, 3*time.Second)
	setDefault(&t.Cancel, time.Second)
	setDefault(&t.CancelGiveUp, 8*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Quarantine knows the requests that crashed upstreams.
type Quarantine interface {
	// Check returns a refusal for a request that may not run now, or nil.
	Check(fingerprint uint64) *domain.Refusal
	// Suspect reports whether an upstream crashed while it ran the request.
	Suspect(fingerprint uint64) bool
	// Crashed adds a strike to all requests that ran on a crashed upstream.
	Crashed(upstream domain.UpstreamID, fingerprints []uint64)
	// Finished clears a request that ended without a crash.
	Finished(fingerprint uint64)
}

// Leaving knows which upstreams are about to stop.
type Leaving interface {
	Leaving(id domain.UpstreamID) bool
}

// Claims executes non-idempotent calls at most once.
type Claims interface {
	// Execute runs send unless the call already ran.
	Execute(ctx context.Context, call claims.Call, send claims.Sender) (ports.ServiceResponse, error)
}

// Config holds what a gate works with. All fields but Scope, Timing and Rand
// are required.
type Config struct {
	Tables     ports.TableView
	Membership ports.Membership
	Peers      ports.Peers
	Upstreams  ports.Upstreams
	Quarantine Quarantine
	Claims     Claims
	Leaving    Leaving
	Counters   *counters.Set
	// Scope is the scope of upstream groups. Default groups.ScopeRegion.
	Scope  groups.Scope
	Timing Timing
	// Rand returns a random number from 0 to n-1. Default rand.Int64N; replays
	// replace it, so that their runs repeat.
	Rand func(n int64) int64
}
