package tables

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
)

const (
	// DefaultHistoryLimit is the number of changes returned if the filter sets no
	// limit.
	DefaultHistoryLimit = 100
	// maxHistoryScan bounds the number of log entries that one call reads.
	maxHistoryScan = 100 * scanPageRows
)

// HistoryFilter selects changes. Zero fields select all.
type HistoryFilter struct {
	Table  domain.TableName
	Row    string
	Editor string
	// Since excludes changes that were accepted before this time.
	Since time.Time
	// After excludes changes up to and including this revision.
	After domain.Revision
	// Limit bounds the number of changes returned; zero means DefaultHistoryLimit.
	Limit int
}

// matches reports whether the filter selects a change.
func (f HistoryFilter) matches(c domain.Change) bool {
	switch {
	case f.Table != "" && f.Table != c.Table:
		return false
	case f.Row != "" && f.Row != c.Row:
		return false
	case f.Editor != "" && f.Editor != c.Editor:
		return false
	case c.At.Before(f.Since):
		return false
	default:
		return c.Revision > f.After
	}
}

// History returns the newest changes that the filter selects, in order of their
// revisions.
func (e *Editor) History(ctx context.Context, filter HistoryFilter) ([]domain.Change, error) {
	limit := filter.Limit
	if limit <= 0 {
		limit = DefaultHistoryLimit
	}
	h, err := e.reader.head(ctx)
	if err != nil {
		return nil, err
	}
	var found []domain.Change
	scanned := 0
	for last := h.Revision; last > filter.After && len(found) < limit && scanned < maxHistoryScan; last -= scanPageRows {
		first := max(last-scanPageRows+1, filter.After+1)
		page, err := e.reader.changes(ctx, first, last)
		if err != nil {
			return nil, err
		}
		scanned += scanPageRows
		for _, change := range slices.Backward(page) {
			if len(found) < limit && filter.matches(change) {
				found = append(found, change)
			}
		}
	}
	slices.Reverse(found)
	return found, nil
}
