package tables

import (
	"context"

	"greengagespoke/domain"
)

// maxEarly bounds the announced changes that wait for their predecessors.
const maxEarly = 256

// Announce implements ports.TablePeer. A program that is no host calls it after
// the table service has accepted its changes, so that they spread also where the
// service fails right after.
func (f *Follower) Announce(_ context.Context, changes []domain.Change) error {
	if !f.Ready() {
		return ErrNotReady
	}
	if len(changes) == 0 {
		return nil
	}
	f.keepEarly(changes)
	f.learn(func(current *state) *state { return current })
	if last := changes[len(changes)-1].Revision; last > f.Revision() {
		f.askForMissing(last)
	}
	return nil
}

// keepEarly keeps changes above the revision in force. Where there are too many,
// the next poll or pull brings them.
func (f *Follower) keepEarly(changes []domain.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		_, known := f.early[change.Revision]
		if known || change.Revision <= f.current.Load().revision || len(f.early) >= maxEarly {
			continue
		}
		f.count.announced.Add(1)
		f.early[change.Revision] = change
	}
}

// withEarly returns the state after the announced changes that follow it. The
// caller holds mu.
func (f *Follower) withEarly(st *state) *state {
	if len(f.early) == 0 {
		return st
	}
	for {
		change, ok := f.early[st.revision+1]
		if !ok {
			break
		}
		st = st.advance([]domain.Change{change})
	}
	for revision := range f.early {
		if revision <= st.revision {
			delete(f.early, revision)
		}
	}
	return st
}

// askForMissing pulls the changes before an announced one from a random host.
func (f *Follower) askForMissing(revision domain.Revision) {
	if f.cfg.Peers == nil {
		return
	}
	if host, ok := f.randomHost(); ok {
		f.Notice(host, revision)
	}
}
