package tables

import (
	"encoding/json"
	"maps"
	"sort"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// maxRecentChanges bounds the number of changes that a host keeps for its peers.
	maxRecentChanges = 1000
	// maxRecentBytes bounds the total size of the values of these changes.
	maxRecentBytes = 4 << 20
)

// state holds both tables at one revision. It is immutable once it is built.
type state struct {
	revision domain.Revision
	digest   uint64
	rows     map[rowKey]domain.VersionedRow
	view     *view
	// patched is true if rows that are unreadable in the store keep their earlier
	// values here, so that the digest differs from the head's.
	patched bool
	// recent holds the newest changes up to revision, without gaps and without
	// their Before values.
	recent      []domain.Change
	recentBytes int
}

func emptyState() *state {
	return &state{rows: make(map[rowKey]domain.VersionedRow), view: emptyView()}
}

// advance returns the state after the given changes. Changes that the state
// already has are skipped; changes after a gap are ignored.
func (s *state) advance(changes []domain.Change) *state {
	changes = contiguousAfter(changes, s.revision)
	if len(changes) == 0 {
		return s
	}
	next := &state{revision: s.revision, digest: s.digest, rows: maps.Clone(s.rows), recent: s.recent, recentBytes: s.recentBytes}
	touched := make(map[rowKey]bool, len(changes))
	for _, change := range changes {
		key := rowKey{table: change.Table, row: change.Row}
		touched[key] = true
		next.apply(key, change)
	}
	next.view = s.view.update(next.rows, touched)
	return next
}

// contiguousAfter returns the part of an ordered list that directly follows a
// revision without gaps.
func contiguousAfter(changes []domain.Change, revision domain.Revision) []domain.Change {
	start := sort.Search(len(changes), func(i int) bool { return changes[i].Revision > revision })
	changes = changes[start:]
	for i, change := range changes {
		if change.Revision != revision+domain.Revision(i)+1 {
			return changes[:i]
		}
	}
	return changes
}

func (s *state) apply(key rowKey, change domain.Change) {
	if old, ok := s.rows[key]; ok {
		s.digest -= key.digest(old.Version)
		delete(s.rows, key)
	}
	if len(change.After) > 0 {
		s.rows[key] = domain.VersionedRow{Table: key.table, Row: key.row, Version: change.Revision, Value: change.After}
		s.digest += key.digest(change.Revision)
	}
	s.revision = change.Revision
	change.Before = nil
	s.appendRecent(change)
}

// appendRecent adds a change to the recent ones and evicts the oldest beyond the
// limits.
func (s *state) appendRecent(change domain.Change) {
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], change)
	s.recentBytes += len(change.After)
	for len(s.recent) > maxRecentChanges || (s.recentBytes > maxRecentBytes && len(s.recent) > 1) {
		s.recentBytes -= len(s.recent[0].After)
		s.recent = s.recent[1:]
	}
}

// replace returns a state built from all rows at a revision. Rows that cannot be
// decoded keep the last good value of the earlier state.
func (s *state) replace(revision domain.Revision, rows []domain.VersionedRow) *state {
	next := &state{revision: revision, rows: make(map[rowKey]domain.VersionedRow, len(rows))}
	for _, row := range rows {
		key := keyOf(row)
		next.rows[key] = row
		next.digest += key.digest(row.Version)
	}
	touched := make(map[rowKey]bool)
	for key, row := range next.rows {
		if old, ok := s.rows[key]; !ok || old.Version != row.Version {
			touched[key] = true
		}
	}
	for key := range s.rows {
		if _, ok := next.rows[key]; !ok {
			touched[key] = true
		}
	}
	next.view = s.view.update(next.rows, touched)
	return next
}

// changesAfter returns the recent changes after a revision, at most limit if it is
// positive; complete is false if some of them are no longer kept.
func (s *state) changesAfter(after domain.Revision, limit int) (changes []domain.Change, complete bool) {
	if after >= s.revision {
		return nil, true
	}
	if len(s.recent) == 0 || s.recent[0].Revision > after+1 {
		return nil, false
	}
	start := int(after + 1 - s.recent[0].Revision)
	end := len(s.recent)
	if limit > 0 {
		end = min(end, start+limit)
	}
	return s.recent[start:end], true
}

// snapshot returns all rows, sorted by table and row.
func (s *state) snapshot() ports.TableSnapshot {
	rows := make([]domain.VersionedRow, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Table != rows[j].Table {
			return rows[i].Table < rows[j].Table
		}
		return rows[i].Row < rows[j].Row
	})
	return ports.TableSnapshot{Revision: s.revision, Rows: rows}
}

// sameJSON reports whether two values are equal apart from white space.
func sameJSON(a, b json.RawMessage) bool {
	return string(compact(a)) == string(compact(b))
}
