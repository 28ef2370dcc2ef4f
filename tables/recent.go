package tables

import (
	"context"

	"greengagespoke/domain"
)

const (
	// maxAnnounced is the number of changes in one announcement.
	maxAnnounced = 16
	// maxAnnouncedBytes bounds the values of the changes before the announced one.
	maxAnnouncedBytes = 1 << 20
)

// Recall reads the newest changes from the store, so that Recent returns them
// also where this editor did not make them.
func (e *Editor) Recall(ctx context.Context) error {
	st, _, err := e.refresh(ctx)
	if err != nil {
		return err
	}
	first := max(1, st.revision-maxAnnounced+1)
	changes, err := e.reader.changes(ctx, first, st.revision)
	if err != nil {
		return err
	}
	recalled := *st
	recalled.recent, recalled.recentBytes = nil, 0
	for _, change := range changes {
		change.Before = nil
		recalled.remember(change)
	}
	if whole := following(recalled.recent, first-1); len(whole) != int(st.revision-first+1) {
		return errInconsistent
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == st {
		e.last = &recalled
	}
	return nil
}

// Recent returns the change and those right before it that the editor knows, to
// be announced together: hosts may not have the others yet.
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
	return newest(recent)
}

// newest returns the end of a list of changes within the bounds of an
// announcement, at least the last one.
func newest(changes []domain.Change) []domain.Change {
	size := 0
	for i := len(changes) - 1; i >= 0; i-- {
		size += len(changes[i].After)
		last := i == len(changes)-1
		if !last && (size > maxAnnouncedBytes || len(changes)-i > maxAnnounced) {
			return changes[i+1:]
		}
	}
	return changes
}
