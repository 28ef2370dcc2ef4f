package fleet

import (
	"context"
	"time"

	"greengagespoke/domain"
)

const (
	// freedWithin is the time in which memory of gone callers must be freed.
	freedWithin = 10 * time.Second
	// quietWithin is the time after which a leaving upstream gets no new work.
	quietWithin = 5 * time.Second
	// inForceWithin is the time in which a change must be in force everywhere.
	inForceWithin = 14 * time.Second
	checkInterval = 50 * time.Millisecond
)

// CheckMemory waits for the engines to be free of all attempts and records a
// problem where they are not in time.
func (f *Fleet) CheckMemory(book *Book) {
	deadline := time.Now().Add(freedWithin)
	for f.heldAttempts() > 0 && time.Now().Before(deadline) {
		time.Sleep(checkInterval)
	}
	for _, e := range f.Engines {
		for _, r := range e.Held() {
			book.Problem("%s still holds %s attempt %d", e.Upstream().ID, r.ID.Key(), r.ID.Attempt)
		}
	}
}

func (f *Fleet) heldAttempts() int {
	n := 0
	for _, e := range f.Engines {
		n += len(e.Held())
	}
	return n
}

// CheckDoubled records a problem for each call that ran more than once.
func (f *Fleet) CheckDoubled(book *Book) {
	if n := f.Ledger.Doubled(); n > 0 {
		book.Problem("%d non-idempotent calls ran more than once", n)
	}
}

// WatchRevisions samples the revision in force on every host until ctx is done
// and records a problem where one goes back within one life of the host.
func (f *Fleet) WatchRevisions(ctx context.Context, book *Book) {
	type life struct {
		id          domain.HostID
		incarnation int
	}
	highest := make(map[life]domain.Revision)
	for ctx.Err() == nil {
		f.mu.Lock()
		for _, m := range f.Hosts {
			key := life{m.ID, m.incarnation}
			if revision := m.Host.Tables.Revision(); revision < highest[key] {
				book.Problem("%s went from revision %d to %d", m.ID, highest[key], revision)
			} else {
				highest[key] = revision
			}
		}
		f.mu.Unlock()
		time.Sleep(checkInterval)
	}
}

// CheckInForce waits until a revision is in force on all running hosts and
// records a problem where it is not in time.
func (f *Fleet) CheckInForce(book *Book, revision domain.Revision) {
	deadline := time.Now().Add(inForceWithin)
	for !f.inForce(revision) {
		if time.Now().After(deadline) {
			book.Problem("revision %d is not in force everywhere after %v", revision, inForceWithin)
			return
		}
		time.Sleep(checkInterval)
	}
}

func (f *Fleet) inForce(revision domain.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.Hosts {
		if !m.stopped && m.Host.Tables.Revision() < revision {
			return false
		}
	}
	return true
}

// LeaveUpstream marks an engine as leaving and checks that it receives no new
// work after quietWithin. It returns when the engine has been watched as long
// again.
func (f *Fleet) LeaveUpstream(book *Book, id domain.UpstreamID) {
	e, ok := f.Fabric.Engine(id)
	if !ok {
		book.Problem("no engine %s", id)
		return
	}
	f.Platform.SetLeaving(string(id))
	time.Sleep(quietWithin)
	before := e.Counts()
	time.Sleep(quietWithin)
	after := e.Counts()
	if after.Imports != before.Imports || after.Prefills != before.Prefills {
		book.Problem("leaving upstream %s received new work: %+v, then %+v", id, before, after)
	}
}
