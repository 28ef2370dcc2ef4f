// Package lease gives one holder at a time the right to act, by a row of the
// platform's table service.
//
// Leases follow Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism
// for Distributed File Cache Consistency", SOSP 1989), with a fencing term that
// grows with each change of holder. No wall clock is compared between hosts: a
// holder counts from the moment before it sent the write, a candidate from the
// moment after it read the row, both by their own monotonic clocks.
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
	// renewals is the number of renewals in the duration of a lease.
	renewals = 4
	// nonceBytes is the length of the random number of one holder's life.
	nonceBytes = 8
)

// ErrNotHeld means that this host does not hold the lease, or not safely.
var ErrNotHeld = errors.New("lease not held; another host acts, or the table service is down")

// Config says what is leased to whom.
type Config struct {
	Store ports.TableService
	// Key is the key of the row.
	Key    string
	Holder domain.HostID
	// Duration and Margin take the defaults where they are zero.
	Duration time.Duration
	Margin   time.Duration
}

// row is the value of the leased row. It is never deleted, so that the term only
// grows.
type row struct {
	// Holder is empty after a release.
	Holder domain.HostID `json:"holder"`
	// Nonce tells apart the lives of a holder.
	Nonce string `json:"nonce"`
	// Term is the fencing number.
	Term int64 `json:"term"`
	// Sequence numbers the holder's writes.
	Sequence int64 `json:"sequence"`
	// Duration is how long the lease lasts after the write.
	Duration domain.Duration `json:"duration"`
}

// Lease is one host's side of a lease. It is safe for use by several goroutines.
type Lease struct {
	cfg   Config
	nonce string

	// steps serializes writes; mu is never held while the service is called.
	steps sync.Mutex

	mu sync.Mutex
	// seen is the row as last read or written, its version, and when that was.
	seen    row
	version int64
	seenAt  time.Time
	// sent holds when each unconfirmed write was begun, by sequence.
	sent map[int64]time.Time
	// heldFrom is the begin of the last confirmed write; zero where the lease is
	// not held.
	heldFrom time.Time
	sequence int64
}

// New returns a lease that is not held.
func New(cfg Config) *Lease {
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Margin == 0 {
		cfg.Margin = DefaultMargin
	}
	return &Lease{cfg: cfg, nonce: newNonce(), sent: make(map[int64]time.Time)}
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RenewEvery is how often Step is to be called.
func (l *Lease) RenewEvery() time.Duration { return l.cfg.Duration / renewals }

// Term returns the fencing number, or ErrNotHeld where the lease is not held or
// will expire within the margin. It is to be called right before each action.
func (l *Lease) Term() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldFrom.IsZero() || time.Since(l.heldFrom) >= l.cfg.Duration-l.cfg.Margin {
		return 0, ErrNotHeld
	}
	return l.seen.Term, nil
}

// Left returns for how long the lease may still be used without renewal.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldFrom.IsZero() {
		return 0
	}
	return max(0, l.cfg.Duration-l.cfg.Margin-time.Since(l.heldFrom))
}

// Lose gives the lease up on this side, for example because an engine has seen a
// higher term. The row is left to expire.
func (l *Lease) Lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop("fenced")
}

// Step renews the lease where it is held and takes it where it is free or has
// expired. A nil error does not mean that the lease is held: ask Term. A write whose
// answer was lost is found again by the next Step.
func (l *Lease) Step(ctx context.Context) error {
	l.steps.Lock()
	defer l.steps.Unlock()
	if err := l.read(ctx); err != nil {
		return err
	}
	term, ok := l.nextTerm()
	if !ok {
		return nil
	}
	return l.write(ctx, term, l.cfg.Holder)
}

// Watch reads the row without taking the lease, so that the wait for its expiry
// begins.
func (l *Lease) Watch(ctx context.Context) error {
	return l.read(ctx)
}

// Release frees the lease, so that the next holder need not wait. It must only be
// called when no action of this holder is in flight.
func (l *Lease) Release(ctx context.Context) error {
	l.steps.Lock()
	defer l.steps.Unlock()
	l.mu.Lock()
	own, term := l.own(), l.seen.Term
	l.drop("released")
	l.mu.Unlock()
	if !own {
		return nil
	}
	return l.write(ctx, term, "")
}

// nextTerm returns the term to write: the same to renew, the next one to take the
// lease. It returns false where another host holds it.
func (l *Lease) nextTerm() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own() {
		return l.seen.Term, true
	}
	return l.seen.Term + 1, l.free()
}

// own says whether the row as last seen names this life of this host and the
// lease has not expired or been lost. The caller holds the lock.
func (l *Lease) own() bool {
	return !l.heldFrom.IsZero() && l.seen.Nonce == l.nonce && l.seen.Holder == l.cfg.Holder
}

// free says whether the lease may be taken: it was released, or the row has not
// changed for its whole duration since it was first seen. The caller holds the
// lock.
func (l *Lease) free() bool {
	if l.version == 0 || l.seen.Holder == "" {
		return true
	}
	return time.Since(l.seenAt) >= l.seen.Duration.D()
}

// drop ends the use of the lease. The caller holds the lock.
func (l *Lease) drop(why string) {
	if !l.heldFrom.IsZero() {
		klog.InfoS("lease given up", "key", l.cfg.Key, "holder", l.cfg.Holder, "term", l.seen.Term, "why", why)
	}
	l.heldFrom = time.Time{}
}

// read brings the known row up to date.
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
	l.note(value, got.Version, time.Now())
	return nil
}

// note takes in a newer row. A row that this life of this host wrote, and whose
// answer was lost, confirms that write. The caller holds the lock.
func (l *Lease) note(value row, version int64, now time.Time) {
	l.seen, l.version, l.seenAt = value, version, now
	if value.Nonce != l.nonce || value.Holder != l.cfg.Holder {
		l.drop("taken by another host")
		return
	}
	begun, ok := l.sent[value.Sequence]
	if !ok {
		return
	}
	if l.heldFrom.IsZero() {
		klog.InfoS("lease acquired", "key", l.cfg.Key, "holder", l.cfg.Holder, "term", value.Term)
	}
	l.heldFrom = begun
	clear(l.sent)
}

// write writes the row on condition that it is still as last seen.
func (l *Lease) write(ctx context.Context, term int64, holder domain.HostID) error {
	value, version := l.begin(term, holder)
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
		return fmt.Errorf("lease %s changed meanwhile: %w", l.cfg.Key, ErrNotHeld)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.Version > l.version {
		l.note(value, result.Version, time.Now())
	}
	return nil
}

// begin notes when a write is begun and returns its value and the version it
// builds on.
func (l *Lease) begin(term int64, holder domain.HostID) (row, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.sent[l.sequence] = time.Now()
	return row{
		Holder: holder, Nonce: l.nonce, Term: term, Sequence: l.sequence,
		Duration: domain.Duration(l.cfg.Duration),
	}, l.version
}
