package tables

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// maxEditAttempts bounds the attempts of one edit.
	maxEditAttempts = 8
	// editBackoff is the mean pause before the second attempt; it grows with each
	// further one.
	editBackoff = 50 * time.Millisecond
	// maxEditBackoff bounds the pause between attempts.
	maxEditBackoff = time.Second
)

// EditorConfig holds the dependencies of an Editor.
type EditorConfig struct {
	Store ports.TableService
	// Clock provides the time stamps of changes; nil means the system clock.
	Clock ports.Clock
	// Follower, if set, applies each accepted change immediately and spreads it
	// to its peers, even if the store fails right afterwards.
	Follower *Follower
}

// Editor makes changes to the routes and pools tables. It is safe for concurrent
// use, and several editors on different hosts may work at the same time.
type Editor struct {
	cfg    EditorConfig
	reader reader

	mu       sync.Mutex
	last     *state
	lastHead headRow
}

// NewEditor returns an editor.
func NewEditor(cfg EditorConfig) *Editor {
	if cfg.Clock == nil {
		cfg.Clock = ports.SystemClock{}
	}
	return &Editor{cfg: cfg, reader: reader{store: cfg.Store}, last: emptyState()}
}

// Apply makes one change and returns it. If an earlier attempt with the same edit
// identifier already made the change, it returns that one. The errors are *ConflictError,
// *InvalidRowError, *InUseError, *UnknownPoolError, *EditIDError and those of the
// store. After ports.ErrStoreUnknown the edit may have been accepted: apply it
// again with the same identifier. After any other error it was not accepted.
func (e *Editor) Apply(ctx context.Context, edit domain.Edit) (domain.Change, error) {
	if err := checkEdit(edit); err != nil {
		return domain.Change{}, err
	}
	pause := newBackoff()
	maybeAccepted := false
	var err error
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			if waitErr := sleep(ctx, pause.NextBackOff()); waitErr != nil {
				break
			}
		}
		var change domain.Change
		change, err = e.attemptEdit(ctx, edit)
		if err == nil {
			return change, nil
		}
		maybeAccepted = maybeAccepted || errors.Is(err, ports.ErrStoreUnknown)
		if !retryable(err, maybeAccepted) {
			return domain.Change{}, err
		}
	}
	return domain.Change{}, e.exhaustedError(edit, err, maybeAccepted)
}

// exhaustedError returns the error of an edit whose attempts are used up.
func (e *Editor) exhaustedError(edit domain.Edit, err error, maybeAccepted bool) error {
	if maybeAccepted && !errors.Is(err, ports.ErrStoreUnknown) {
		return fmt.Errorf("edit %q: %w (then: %s); apply it again with the same edit id", edit.ID, ports.ErrStoreUnknown, err)
	}
	return fmt.Errorf("edit %q: %w", edit.ID, err)
}

// retryable reports whether another attempt can succeed within the call. Once an
// answer was lost, the edit may have been accepted; an outage is then retried too,
// for the remaining attempts.
func retryable(err error, maybeAccepted bool) bool {
	switch {
	case errors.Is(err, ports.ErrStoreUnknown), errors.Is(err, ports.ErrStoreThrottled):
		return true
	case errors.Is(err, errInconsistent), errors.Is(err, errStaleHead), errors.Is(err, errConcurrentEdit):
		return true
	case errors.Is(err, ports.ErrStoreDown):
		return maybeAccepted
	default:
		return false
	}
}

// errConcurrentEdit means that another edit was accepted between the read and
// the write.
var errConcurrentEdit = errors.New("other edits were accepted meanwhile; try again")

// attemptEdit reads the tables, checks the edit and commits it, once.
func (e *Editor) attemptEdit(ctx context.Context, edit domain.Edit) (domain.Change, error) {
	if change, ok, err := e.findEarlierChange(ctx, edit); ok || err != nil {
		return change, err
	}
	st, h, err := e.refresh(ctx)
	if err != nil {
		return domain.Change{}, err
	}
	if refusal := e.check(ctx, st, edit); refusal != nil {
		return domain.Change{}, e.confirmRejection(ctx, edit, h, refusal)
	}
	change := domain.Change{
		Revision: h.Revision + 1,
		EditID:   edit.ID,
		Table:    edit.Table,
		Row:      edit.Row,
		Editor:   edit.Editor,
		At:       e.cfg.Clock.Now().UTC(),
		Before:   st.rows[rowKey{edit.Table, edit.Row}].Value,
		After:    edit.Value,
	}
	next := st.advance([]domain.Change{change})
	txn, err := changeTxn(change, h, next.digest)
	if err != nil {
		return domain.Change{}, err
	}
	result, err := e.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return domain.Change{}, err
	}
	if !result.Applied {
		return domain.Change{}, errConcurrentEdit
	}
	e.recordAccepted(change, next, headRow{head: head{Revision: next.revision, Digest: next.digest}, version: result.Version})
	return change, nil
}

// findEarlierChange returns the change that an earlier attempt of the edit made.
func (e *Editor) findEarlierChange(ctx context.Context, edit domain.Edit) (domain.Change, bool, error) {
	row, ok, err := e.cfg.Store.Get(ctx, prefixEdit+edit.ID)
	if err != nil || !ok {
		return domain.Change{}, false, err
	}
	var record editRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return domain.Change{}, false, fmt.Errorf("the record of edit %q is unreadable; choose a new edit id: %w", edit.ID, err)
	}
	changes, err := e.reader.changes(ctx, record.Revision, record.Revision)
	if err != nil {
		return domain.Change{}, false, err
	}
	if len(changes) == 0 {
		return domain.Change{}, false, errInconsistent
	}
	change := changes[0]
	if change.Table != edit.Table || change.Row != edit.Row || !sameJSON(change.After, edit.Value) {
		return domain.Change{}, false, &EditIDError{ID: edit.ID, Change: change}
	}
	return change, true, nil
}

// refresh brings the editor's state up to the store's head. If the store
// answers with an older head than the editor has seen, the editor uses the newer
// one that it knows; the condition on the head verifies it when an edit is
// committed.
func (e *Editor) refresh(ctx context.Context) (*state, headRow, error) {
	e.mu.Lock()
	from, known := e.last, e.lastHead
	e.mu.Unlock()
	st, h, err := e.reader.catchUp(ctx, from)
	if errors.Is(err, errStaleHead) {
		return from, known, nil
	}
	if err != nil {
		return nil, h, err
	}
	e.cacheState(st, h)
	return st, h, nil
}

func (e *Editor) cacheState(st *state, h headRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if st.revision > e.last.revision {
		e.last, e.lastHead = st, h
	}
}

func (e *Editor) recordAccepted(change domain.Change, next *state, h headRow) {
	e.cacheState(next, h)
	if e.cfg.Follower != nil {
		e.cfg.Follower.applyLocalChange(change, next)
	}
}

// confirmRejection makes sure that a rejection is not based on stale reads: it commits
// a transaction without writes that is conditional on the head and on the absence
// of the edit's record.
func (e *Editor) confirmRejection(ctx context.Context, edit domain.Edit, h headRow, refusal error) error {
	txn := ports.Txn{If: []ports.Condition{{Key: keyHead, Version: h.version}, {Key: prefixEdit + edit.ID}}}
	result, err := e.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	if !result.Applied {
		return errConcurrentEdit
	}
	return refusal
}

// changeTxn returns the transaction that writes a change. The condition on the head
// ensures that all checks against the tables still hold when it is written.
func changeTxn(change domain.Change, h headRow, digest uint64) (ports.Txn, error) {
	key := rowKey{table: change.Table, row: change.Row}
	row := ports.Write{Key: key.storeKey(), Delete: len(change.After) == 0}
	if !row.Delete {
		value, err := json.Marshal(domain.VersionedRow{Table: change.Table, Row: change.Row, Version: change.Revision, Value: change.After})
		if err != nil {
			return ports.Txn{}, err
		}
		row.Value = value
	}
	entry, err := json.Marshal(change)
	if err != nil {
		return ports.Txn{}, err
	}
	newHead, err := json.Marshal(head{Revision: change.Revision, Digest: digest})
	if err != nil {
		return ports.Txn{}, err
	}
	record, err := json.Marshal(editRecord{Revision: change.Revision})
	if err != nil {
		return ports.Txn{}, err
	}
	return ports.Txn{
		If: []ports.Condition{
			{Key: keyHead, Version: h.version},
			{Key: prefixEdit + change.EditID},
			{Key: logKey(change.Revision)},
		},
		Then: []ports.Write{
			row,
			{Key: keyHead, Value: newHead},
			{Key: logKey(change.Revision), Value: entry},
			{Key: prefixEdit + change.EditID, Value: record},
		},
	}, nil
}

// Snapshot returns all rows at the store's head.
func (e *Editor) Snapshot(ctx context.Context) (ports.TableSnapshot, error) {
	pause := newBackoff()
	var err error
	for range maxEditAttempts {
		var st *state
		if st, _, err = e.refresh(ctx); err == nil {
			return st.snapshot(), nil
		}
		if !retryable(err, false) {
			break
		}
		if sleep(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return ports.TableSnapshot{}, err
}

func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = editBackoff
	pause.MaxInterval = maxEditBackoff
	return pause
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
