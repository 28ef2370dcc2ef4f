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
	// editAttempts bounds the tries of one edit.
	editAttempts = 8
	// editBackoff is the mean pause before the second try; it grows with each.
	editBackoff = 50 * time.Millisecond
	// editBackoffMax bounds the pause between tries.
	editBackoffMax = time.Second
)

// EditorConfig says what an editor works with.
type EditorConfig struct {
	Store ports.TableService
	// Clock stamps the changes; nil means the system's clock.
	Clock ports.Clock
	// Follower, if set, has each accepted change in force at once and passes it
	// on to its peers, even if the store fails right after.
	Follower *Follower
}

// Editor makes changes to the two tables. It is safe for use by several
// goroutines and by several hosts at the same time.
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

// Apply makes one change. It returns the change, also where an earlier try with
// the same edit identifier made it. The errors are *ConflictError,
// *InvalidRowError, *InUseError, *UnknownPoolError, *EditIDError and those of the
// store. With ports.ErrStoreUnknown the edit may have been accepted: apply it
// again with the same identifier. With any other error it was not accepted.
func (e *Editor) Apply(ctx context.Context, edit domain.Edit) (domain.Change, error) {
	if err := checkEdit(edit); err != nil {
		return domain.Change{}, err
	}
	pause := newBackoff()
	maybeAccepted := false
	var err error
	for attempt := range editAttempts {
		if attempt > 0 {
			if waitErr := sleep(ctx, pause.NextBackOff()); waitErr != nil {
				break
			}
		}
		var change domain.Change
		change, err = e.try(ctx, edit)
		if err == nil {
			return change, nil
		}
		maybeAccepted = maybeAccepted || errors.Is(err, ports.ErrStoreUnknown)
		if !retryable(err, maybeAccepted) {
			return domain.Change{}, err
		}
	}
	return domain.Change{}, e.givenUp(edit, err, maybeAccepted)
}

// givenUp returns the error of an edit whose tries are used up.
func (e *Editor) givenUp(edit domain.Edit, err error, maybeAccepted bool) error {
	if maybeAccepted && !errors.Is(err, ports.ErrStoreUnknown) {
		return fmt.Errorf("edit %q: %w (then: %s); apply it again with the same edit id", edit.ID, ports.ErrStoreUnknown, err)
	}
	return fmt.Errorf("edit %q: %w", edit.ID, err)
}

// retryable says whether another try can succeed within the call. After a lost
// answer also an outage is waited out for the remaining tries, as the edit may
// have been accepted.
func retryable(err error, maybeAccepted bool) bool {
	switch {
	case errors.Is(err, ports.ErrStoreUnknown), errors.Is(err, ports.ErrStoreThrottled):
		return true
	case errors.Is(err, errInconsistent), errors.Is(err, errBehind), errors.Is(err, errRaced):
		return true
	case errors.Is(err, ports.ErrStoreDown):
		return maybeAccepted
	default:
		return false
	}
}

// errRaced means that another edit was accepted between reading and writing.
var errRaced = errors.New("other edits were accepted meanwhile; try again")

// try reads the tables, checks the edit and commits it.
func (e *Editor) try(ctx context.Context, edit domain.Edit) (domain.Change, error) {
	if change, ok, err := e.earlier(ctx, edit); ok || err != nil {
		return change, err
	}
	st, h, err := e.refresh(ctx)
	if err != nil {
		return domain.Change{}, err
	}
	if refusal := e.check(ctx, st, edit); refusal != nil {
		return domain.Change{}, e.confirm(ctx, edit, h, refusal)
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
	txn, err := commitOf(change, h, next.digest)
	if err != nil {
		return domain.Change{}, err
	}
	result, err := e.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return domain.Change{}, err
	}
	if !result.Applied {
		return domain.Change{}, errRaced
	}
	e.accepted(change, next, headRow{head: head{Revision: next.revision, Digest: next.digest}, version: result.Version})
	return change, nil
}

// earlier returns the change that an earlier try of the edit made.
func (e *Editor) earlier(ctx context.Context, edit domain.Edit) (domain.Change, bool, error) {
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

// refresh brings the editor's state up to the store's head. Where the store
// answers with an older head than the editor knows, the known one is used: the
// condition on the head makes sure of it when an edit is committed.
func (e *Editor) refresh(ctx context.Context) (*state, headRow, error) {
	e.mu.Lock()
	from, known := e.last, e.lastHead
	e.mu.Unlock()
	st, h, err := e.reader.catchUp(ctx, from)
	if errors.Is(err, errBehind) {
		return from, known, nil
	}
	if err != nil {
		return nil, h, err
	}
	e.keep(st, h)
	return st, h, nil
}

func (e *Editor) keep(st *state, h headRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if st.revision > e.last.revision {
		e.last, e.lastHead = st, h
	}
}

func (e *Editor) accepted(change domain.Change, next *state, h headRow) {
	e.keep(next, h)
	if e.cfg.Follower != nil {
		e.cfg.Follower.adopt(change, next)
	}
}

// confirm makes sure that a refusal does not rest on reads that lag behind: it
// commits a transaction without writes on the head and on the edit's record.
func (e *Editor) confirm(ctx context.Context, edit domain.Edit, h headRow, refusal error) error {
	txn := ports.Txn{If: []ports.Condition{{Key: keyHead, Version: h.version}, {Key: prefixEdit + edit.ID}}}
	result, err := e.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	if !result.Applied {
		return errRaced
	}
	return refusal
}

// commitOf returns the transaction of a change. The condition on the head makes
// all checks against the tables hold at the moment of the write.
func commitOf(change domain.Change, h headRow, digest uint64) (ports.Txn, error) {
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
	for range editAttempts {
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
	pause.MaxInterval = editBackoffMax
	return pause
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if pause.For(ctx, d) {
		return nil
	}
	return ctx.Err()
}
