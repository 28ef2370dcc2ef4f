package tables

import (
	"context"

	"greengagespoke/domain"
)

const (
	// maxAnnouncedChanges is the largest number of changes in one announcement.
	maxAnnouncedChanges = 16
	// maxAnnouncedBytes bounds the total size of the values in one announcement,
	// except that the last change is always included.
	maxAnnouncedBytes = 1 << 20
)

// Recall reads the newest changes from the store, so that Recent returns them
// even if another editor made them.
func (e *Editor) Recall(ctx context.Context) error {
	st, _, err := e.refresh(ctx)
	if err != nil {
		return err
	}
	first := max(1, st.revision-maxAnnouncedChanges+1)
	changes, err := e.reader.changes(ctx, first, st.revision)
	if err != nil {
		return err
	}
	recalled := *st
	recalled.recent, recalled.recentBytes = nil, 0
	for _, change := range changes {
		change.Before = nil
		recalled.appendRecent(change)
	}
	if whole := contiguousAfter(recalled.recent, first-1); len(whole) != int(st.revision-first+1) {
		return errInconsistent
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == st {
		e.last = &recalled
	}
	return nil
}

// Recent returns the change, preceded by the known changes directly before it. They
// are announced together because hosts may not have the earlier ones yet.
func (e *Editor) Recent(change domain.Change) []domain.Change {
	e.mu.Lock()
	recent := e.last.recent
	e.mu.Unlock()
	for len(recent) > 0 && recent[len(recent)-1].Revision > change.Revision {
		recent = recent[:len(recent)-1]
	}
	if len(recent) == 0 || recent[len(recent)-1].Revision != change.Revision {
		change.Before = nil
		return []domain.Change{change}
	}
	return limitAnnounced(recent)
}

// limitAnnounced returns the longest tail of a list of changes that fits the limits of
// an announcement, and at least the last change.
func limitAnnounced(changes []domain.Change) []domain.Change {
	size := 0
	for i := len(changes) - 1; i >= 0; i-- {
		size += len(changes[i].After)
		last := i == len(changes)-1
		if !last && (size > maxAnnouncedBytes || len(changes)-i > maxAnnouncedChanges) {
			return changes[i+1:]
		}
	}
	return changes
}
