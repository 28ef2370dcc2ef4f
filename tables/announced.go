package tables

import (
	"context"

	"greengagespoke/domain"
)

// maxPendingChanges bounds the number of announced changes held until
// the changes before them arrive.
const maxPendingChanges = 256

// Announce implements ports.TablePeer. A program that is not a host calls it after
// the table service has accepted its changes, so that they reach all hosts even if
// the service fails right afterwards. It returns ErrNotReady while this host has
// no tables.
func (f *Follower) Announce(_ context.Context, changes []domain.Change) error {
	if !f.Ready() {
		return ErrNotReady
	}
	if len(changes) == 0 {
		return nil
	}
	f.storePending(changes)
	f.installIfNewer(func(current *state) *state { return current })
	if last := changes[len(changes)-1].Revision; last > f.Revision() {
		f.requestMissing(last)
	}
	return nil
}

// storePending holds changes above the applied revision. Changes beyond
// maxPendingChanges are discarded; the next poll or pull fetches them.
func (f *Follower) storePending(changes []domain.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		_, known := f.pending[change.Revision]
		if known || change.Revision <= f.current.Load().revision || len(f.pending) >= maxPendingChanges {
			continue
		}
		f.count.announced.Add(1)
		f.pending[change.Revision] = change
	}
}

// applyPending advances the state by the pending changes that directly follow it
// and discards pending changes that it already has. The caller holds mu.
func (f *Follower) applyPending(st *state) *state {
	if len(f.pending) == 0 {
		return st
	}
	for {
		change, ok := f.pending[st.revision+1]
		if !ok {
			break
		}
		st = st.advance([]domain.Change{change})
	}
	for revision := range f.pending {
		if revision <= st.revision {
			delete(f.pending, revision)
		}
	}
	return st
}

// requestMissing queues a pull of the changes before an announced one from a
// random host.
func (f *Follower) requestMissing(revision domain.Revision) {
	if f.cfg.Peers == nil {
		return
	}
	if host, ok := f.randomHost(); ok {
		f.Notice(host, revision)
	}
}
