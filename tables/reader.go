package tables

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// scanPageRows is the largest number of rows per scan.
	scanPageRows = 500
	// maxDeltaChanges is the largest number of changes that is read as a delta; with
	// more, all rows are read.
	maxDeltaChanges = 200
)

// errStaleHead means that the head read from the store is older than the
// state at hand.
var errStaleHead = errors.New("the table service answered with an older head")

// reader reads the head, the rows and the change log from the store.
type reader struct {
	store ports.TableService
}

// headRow is the head together with its version in the store.
type headRow struct {
	head
	version int64
}

// head reads the head. An empty store has revision 0.
func (r reader) head(ctx context.Context) (headRow, error) {
	row, ok, err := r.store.Get(ctx, keyHead)
	if err != nil || !ok {
		return headRow{}, err
	}
	h, err := decodeHead(row)
	return headRow{head: h, version: row.Version}, err
}

// catchUp returns the state at the store's head, starting from an earlier state.
// It returns errBehind with the unchanged state if the head is older.
func (r reader) catchUp(ctx context.Context, from *state) (*state, headRow, error) {
	h, err := r.head(ctx)
	if err != nil {
		return from, h, err
	}
	switch {
	case h.Revision == from.revision && (h.Digest == from.digest || from.patched):
		return from, h, nil
	case h.Revision < from.revision:
		return from, h, errStaleHead
	case h.Revision-from.revision <= maxDeltaChanges && from.revision > 0:
		if next, ok, err := r.delta(ctx, from, h); ok || err != nil {
			return next, h, err
		}
	}
	next, err := r.full(ctx, from, h)
	return next, h, err
}

// delta reads the changes up to the head; ok is false if some are missing or
// the result does not match the head's digest.
func (r reader) delta(ctx context.Context, from *state, h headRow) (*state, bool, error) {
	next := from
	for next.revision < h.Revision {
		changes, err := r.changes(ctx, next.revision+1, h.Revision)
		if err != nil {
			return from, false, err
		}
		advanced := next.advance(changes)
		if advanced == next {
			return from, false, nil
		}
		next = advanced
	}
	return next, next.digest == h.Digest, nil
}

// changes reads log entries with revisions from first to last, at most one page.
// Entries that it cannot decode are skipped.
func (r reader) changes(ctx context.Context, first, last domain.Revision) ([]domain.Change, error) {
	rows, err := r.store.Scan(ctx, logKey(first), logKey(last+1), scanPageRows)
	if err != nil {
		return nil, err
	}
	changes := make([]domain.Change, 0, len(rows))
	for _, row := range rows {
		var change domain.Change
		if json.Unmarshal(row.Value, &change) == nil {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

// full reads all rows and checks them against the head's digest. If a row's
// envelope is unreadable, its version is unknown and the digest cannot be checked;
// the head is then read again to verify that no edit was accepted meanwhile.
func (r reader) full(ctx context.Context, from *state, h headRow) (*state, error) {
	rows, broken, err := r.rows(ctx)
	if err != nil {
		return from, err
	}
	next := from.replace(h.Revision, rows)
	if len(broken) == 0 && next.digest == h.Digest {
		return next, nil
	}
	if len(broken) == 0 {
		return from, errInconsistent
	}
	again, err := r.head(ctx)
	if err != nil {
		return from, err
	}
	if again.version != h.version {
		return from, errInconsistent
	}
	return from.withLastGoodRows(next, broken), nil
}

// rows scans all rows of both tables. Broken lists rows whose envelope cannot be
// decoded.
func (r reader) rows(ctx context.Context) (rows []domain.VersionedRow, broken []rowKey, err error) {
	from := prefixRows
	for {
		page, err := r.store.Scan(ctx, from, prefixRowsEnd, scanPageRows)
		if err != nil {
			return nil, nil, err
		}
		for _, stored := range page {
			key, _ := parseRowKey(stored.Key)
			var row domain.VersionedRow
			if json.Unmarshal(stored.Value, &row) != nil || keyOf(row) != key {
				broken = append(broken, key)
				continue
			}
			rows = append(rows, row)
		}
		if len(page) < scanPageRows {
			return rows, broken, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// withLastGoodRows returns the next state in which broken rows keep their earlier
// values.
func (s *state) withLastGoodRows(next *state, broken []rowKey) *state {
	rows := next.snapshot().Rows
	for _, key := range broken {
		if row, ok := s.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	kept := s.replace(next.revision, rows)
	kept.patched = true
	for _, key := range broken {
		kept.view.unreadable[key] = UnreadableRow{
			Table: key.table, Row: key.row, LastGood: kept.view.lastGood(key),
			Problem: fmt.Sprintf("the stored row %s has no readable envelope", key.storeKey()),
		}
	}
	return kept
}
