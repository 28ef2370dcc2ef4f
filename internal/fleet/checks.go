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

// WatchMemory samples what the engines hold until ctx is done. It records a
// problem for each attempt that stays on an engine longer than freedWithin
// though its caller has gone or a newer attempt has replaced it.
func (f *Fleet) WatchMemory(ctx context.Context, book *Book) {
	since := make(map[domain.AttemptID]time.Time)
	for ctx.Err() == nil {
		held := f.unwanted(book)
		for id := range since {
			if _, still := held[id]; !still {
				delete(since, id)
			}
		}
		for id, upstream := range held {
			if _, known := since[id]; !known {
				since[id] = time.Now()
			}
			if time.Since(since[id]) > freedWithin {
				book.Problem("%s holds %s attempt %d, which nobody wants", upstream, id.Key(), id.Attempt)
				since[id] = time.Now()
			}
		}
		time.Sleep(checkInterval)
	}
}

// unwanted returns the attempts on running engines that serve no caller.
func (f *Fleet) unwanted(book *Book) map[domain.AttemptID]domain.UpstreamID {
	newest := make(map[domain.RequestKey]int)
	held := make(map[domain.AttemptID]domain.UpstreamID)
	for _, e := range f.Engines {
		if e.Down() {
			continue
		}
		for _, r := range e.Held() {
			held[r.ID] = e.Upstream().ID
			newest[r.ID.Key()] = max(newest[r.ID.Key()], r.ID.Attempt)
		}
	}
	for id := range held {
		if id.Attempt == newest[id.Key()] && book.wanted(id.Key()) {
			delete(held, id)
		}
	}
	return held
}

// AwaitMemory waits for as long as memory of gone callers may be held.
func (f *Fleet) AwaitMemory() {
	time.Sleep(freedWithin + time.Second)
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

// LeaveUpstream marks an upstream as leaving and checks that it receives no new
// work after quietWithin. It returns when the upstream has been watched as long
// again.
func (f *Fleet) LeaveUpstream(book *Book, id domain.UpstreamID) {
	f.Platform.SetLeaving(string(id))
	time.Sleep(quietWithin)
	before := f.workOf(id)
	time.Sleep(quietWithin)
	if after := f.workOf(id); after != before {
		book.Problem("leaving upstream %s received %d pieces of new work", id, after-before)
	}
}

// workOf returns how often work was given to an engine or a service.
func (f *Fleet) workOf(id domain.UpstreamID) int {
	if s, ok := f.services[id]; ok {
		return s.Calls()
	}
	e, ok := f.Fabric.Engine(id)
	if !ok {
		return 0
	}
	counts := e.Counts()
	return counts.Prefills + counts.Imports
}
