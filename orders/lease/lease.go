// Package lease implements an exclusive lease on a row of the platform's table
// service, so that at most one holder acts at a time.
//
// Leases follow Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism
// for Distributed File Cache Consistency", SOSP 1989), with a fencing token, the
// lease term, that grows with each change of holder. Wall clocks are never
// compared between hosts: a holder measures from the moment before it sent the
// write, a candidate from the moment after it read the row, both on their own
// monotonic clocks.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// DefaultDuration is how long a lease lasts without renewal.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the expiry a holder stops acting.
	DefaultMargin = 3 * time.Second
	// renewalsPerDuration is the number of renewals attempted in the duration of
	// a lease.
	renewalsPerDuration = 4
	// nonceBytes is the length of the random nonce that identifies one instance
	// of a holder.
	nonceBytes = 8
)

// ErrNotHeld means that this host does not hold the lease, or that the lease will
// expire within the margin.
var ErrNotHeld = errors.New("lease not held: another host holds it, or the table service is unavailable")

// Config identifies the leased row and the holder.
type Config struct {
	Store ports.TableService
	// Key is the key of the leased row in the table service.
	Key    string
	Holder domain.HostID
	// Duration and Margin default to DefaultDuration and DefaultMargin if they
	// are zero.
	Duration time.Duration
	Margin   time.Duration
}

// row is the encoded value of the leased row. The row is never deleted, so that
// the term never decreases.
type row struct {
	// Holder is empty after a release.
	Holder domain.HostID `json:"holder"`
	// Nonce tells instances of a holder apart, for example before and after a
	// restart.
	Nonce string `json:"nonce"`
	// Term is the fencing token.
	Term int64 `json:"term"`
	// Sequence numbers the writes of one holder instance.
	Sequence int64 `json:"sequence"`
	// Duration is how long the lease lasts after this write.
	Duration domain.Duration `json:"duration"`
}

// Lease is one host's view of a lease. It is safe for concurrent use.
type Lease struct {
	cfg   Config
	nonce string

	// stepMu serializes writes. mu is never held while the service is called.
	stepMu sync.Mutex

	mu sync.Mutex
	// seen, version and seenAt are the row as last read or written, its version,
	// and the time of that read or write.
	seen    row
	version int64
	seenAt  time.Time
	// pendingWrites maps the sequence number of each unconfirmed write to the
	// time at which it began.
	pendingWrites map[int64]time.Time
	// heldFrom is the time at which the last confirmed write began. It is zero if
	// the lease is not held.
	heldFrom time.Time
	sequence int64
}

// New returns a lease that is not held yet.
func New(cfg Config) *Lease {
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Margin == 0 {
		cfg.Margin = DefaultMargin
	}
	return &Lease{cfg: cfg, nonce: newNonce(), pendingWrites: make(map[int64]time.Time)}
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RenewInterval returns the interval at which AcquireOrRenew should be called.
func (l *Lease) RenewInterval() time.Duration { return l.cfg.Duration / renewalsPerDuration }

// Term returns the fencing token, or ErrNotHeld if the lease is not held or will
// expire within the margin. Call it right before each action.
func (l *Lease) Term() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldFrom.IsZero() || time.Since(l.heldFrom) >= l.cfg.Duration-l.cfg.Margin {
		return 0, ErrNotHeld
	}
	return l.seen.Term, nil
}

// Remaining returns how long the lease may still be used without renewal, or zero
// if it is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldFrom.IsZero() {
		return 0
	}
	return max(0, l.cfg.Duration-l.cfg.Margin-time.Since(l.heldFrom))
}

// Abandon stops using the lease without writing the row, for example because an
// engine has seen a higher term. The row is left to expire.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markNotHeld("fenced")
}

// AcquireOrRenew renews the lease if it is held and acquires it if it is free or
// has expired. A nil error does not mean that the lease is held: call Term to
// find out. If the response to a write was lost, the next call reads the row back
// and confirms the write.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	if err := l.read(ctx); err != nil {
		return err
	}
	term, ok := l.nextTerm()
	if !ok {
		return nil
	}
	return l.write(ctx, term, l.cfg.Holder)
}

// Watch reads the row without acquiring the lease, so that the wait for its
// expiry begins.
func (l *Lease) Watch(ctx context.Context) error {
	return l.read(ctx)
}

// Release frees the lease, so that the next holder need not wait for it to
// expire. It must not be called while an action of this holder is in flight.
func (l *Lease) Release(ctx context.Context) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	l.mu.Lock()
	own, term := l.ownsRow(), l.seen.Term
	l.markNotHeld("released")
	l.mu.Unlock()
	if !own {
		return nil
	}
	return l.write(ctx, term, "")
}

// nextTerm returns the term to write: the current one to renew, the next one to
// acquire the lease. It returns false if another host holds the lease.
func (l *Lease) nextTerm() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownsRow() {
		return l.seen.Term, true
	}
	return l.seen.Term + 1, l.available()
}

// ownsRow reports whether this instance holds the lease and the row as last seen
// names it. It does not check the expiry by time. The caller holds mu.
func (l *Lease) ownsRow() bool {
	return !l.heldFrom.IsZero() && l.seen.Nonce == l.nonce && l.seen.Holder == l.cfg.Holder
}

// available reports whether the lease may be acquired: it was released, or the
// row has not changed for the lease's whole duration since it was first seen. The
// caller holds mu.
func (l *Lease) available() bool {
	if l.version == 0 || l.seen.Holder == "" {
		return true
	}
	return time.Since(l.seenAt) >= l.seen.Duration.D()
}

// markNotHeld ends the use of the lease. The caller holds mu.
func (l *Lease) markNotHeld(reason string) {
	if !l.heldFrom.IsZero() {
		klog.InfoS("lease no longer held", "key", l.cfg.Key, "holder", l.cfg.Holder, "term", l.seen.Term, "why", reason)
	}
	l.heldFrom = time.Time{}
}

// read fetches the row and applies it if it is newer than the last one seen.
func (l *Lease) read(ctx context.Context) error {
	got, ok, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	if err != nil {
		return eris.Wrapf(err, "read lease %s", l.cfg.Key)
	}
	var value row
	if ok {
		if err := json.Unmarshal(got.Value, &value); err != nil {
			return eris.Wrapf(err, "lease row %s is unreadable; delete it by hand once no host orders engines", l.cfg.Key)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.Version <= l.version {
		return nil
	}
	l.applyRow(value, got.Version, time.Now())
	return nil
}

// applyRow records a newer row. If this instance wrote the row, that confirms the
// write, even if its response was lost. The caller holds mu.
func (l *Lease) applyRow(value row, version int64, now time.Time) {
	l.seen, l.version, l.seenAt = value, version, now
	if value.Nonce != l.nonce || value.Holder != l.cfg.Holder {
		l.markNotHeld("taken by another host")
		return
	}
	begun, ok := l.pendingWrites[value.Sequence]
	if !ok {
		return
	}
	if l.heldFrom.IsZero() {
		klog.InfoS("lease acquired", "key", l.cfg.Key, "holder", l.cfg.Holder, "term", value.Term)
	}
	l.heldFrom = begun
	clear(l.pendingWrites)
}

// write writes the row on the condition that it is still at the version last
// seen.
func (l *Lease) write(ctx context.Context, term int64, holder domain.HostID) error {
	value, version := l.beginWrite(term, holder)
	encoded, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	result, err := l.cfg.Store.Commit(ctx, ports.Txn{
		If:   []ports.Condition{{Key: l.cfg.Key, Version: version}},
		Then: []ports.Write{{Key: l.cfg.Key, Value: encoded}},
	})
	if err != nil {
		return eris.Wrapf(err, "write lease %s", l.cfg.Key)
	}
	if !result.Applied {
		return fmt.Errorf("lease %s was changed concurrently: %w", l.cfg.Key, ErrNotHeld)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.Version > l.version {
		l.applyRow(value, result.Version, time.Now())
	}
	return nil
}

// beginWrite records the start of a write. It returns the value to write and the
// row version that the write depends on.
func (l *Lease) beginWrite(term int64, holder domain.HostID) (row, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.pendingWrites[l.sequence] = time.Now()
	return row{
		Holder: holder, Nonce: l.nonce, Term: term, Sequence: l.sequence,
		Duration: domain.Duration(l.cfg.Duration),
	}, l.version
}
