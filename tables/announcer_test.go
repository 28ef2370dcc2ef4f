package tables

import (
	"context"
	"fmt"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/standin/platform"
)

// TestAnnouncedChangeIsInForceEverywhere has a program that is not a host make
// changes, with an outage of the store right after each. The announcements alone
// must bring every change to all hosts.
func TestAnnouncedChangeIsInForceEverywhere(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{WritesPerSecond: 400, ReadsPerSecond: 2000, Latency: 10 * time.Millisecond})
		fl := newFleet(t, p, 9, messageLoss)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		var worst time.Duration
		for i := range changes {
			p.SetOutage(false)
			time.Sleep(3 * time.Second)
			e, announcer := NewEditor(EditorConfig{Store: p.Tables()}), fl.newExternalAnnouncer()
			p.OutageAfterNextCommit()
			name := fmt.Sprint("p", i)
			change := mustApply(t, e, edit(name, domain.TablePools, name, 0, pool(name, "u"+name)))
			began := time.Now()
			if told := announcer.Tell(ctx, e.Recent(change)); len(told) == 0 {
				t.Fatal("no host was told")
			}
			fl.waitUntil(3*time.Second, func() bool { return fl.lowestRevision() >= change.Revision })
			worst = max(worst, time.Since(began))
		}
		t.Logf("worst of %d changes: %v", changes, worst)
		if worst > 3*time.Second {
			t.Errorf("in force after %v", worst)
		}
	})
}

// TestAnnouncedListIsInForceEverywhere makes several changes in a row, following a
// change by another program, and then takes the store down. That other change and
// the first of the series are not announced on their own, so the later
// announcements must include them.
func TestAnnouncedListIsInForceEverywhere(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{Latency: 10 * time.Millisecond})
		fl := newFleet(t, p, 9, messageLoss)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		for i := range maxAnnouncedChanges + 2 {
			name := fmt.Sprint("known", i)
			mustApply(t, NewEditor(EditorConfig{Store: p.Tables()}), edit(name, domain.TablePools, name, 0, pool(name, "u"+name)))
		}
		fl.waitUntil(5*time.Second, func() bool { return fl.lowestRevision() == maxAnnouncedChanges+2 })
		silent := NewEditor(EditorConfig{Store: p.Tables()})
		mustApply(t, silent, edit("silent", domain.TablePools, "silent", 0, pool("silent", "u")))
		e, announcer := NewEditor(EditorConfig{Store: p.Tables()}), fl.newExternalAnnouncer()
		if err := e.Recall(ctx); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			name := fmt.Sprint("p", i)
			if i == 2 {
				p.OutageAfterNextCommit()
			}
			change := mustApply(t, e, edit(name, domain.TablePools, name, 0, pool(name, "u"+name)))
			if i > 0 {
				announcer.Tell(ctx, e.Recent(change))
			}
		}
		fl.waitUntil(3*time.Second, func() bool { return fl.lowestRevision() == maxAnnouncedChanges+2+4 })
	})
}

// TestAnnouncementsAreBounded checks the number and size of the changes that are
// announced together.
func TestAnnouncementsAreBounded(t *testing.T) {
	list := make([]domain.Change, maxAnnouncedChanges+4)
	for i := range list {
		list[i] = domain.Change{Revision: domain.Revision(i + 1), After: []byte("{}")}
	}
	if got := limitAnnounced(list); len(got) != maxAnnouncedChanges || got[maxAnnouncedChanges-1].Revision != list[len(list)-1].Revision {
		t.Errorf("%d changes", len(got))
	}
	list[len(list)-2].After = make([]byte, maxAnnouncedBytes)
	if got := limitAnnounced(list); len(got) != 1 {
		t.Errorf("%d changes beside a large one", len(got))
	}
	list[len(list)-1].After = make([]byte, 2*maxAnnouncedBytes)
	if got := limitAnnounced(list); len(got) != 1 {
		t.Errorf("%d changes where the last is large", len(got))
	}
}

// TestTellGoesOnToOtherHosts partitions all hosts but one.
func TestTellGoesOnToOtherHosts(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		fl := newFleet(t, p, 5, 0)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		for _, id := range fl.order[:4] {
			fl.hosts[id].setPartitioned(true)
		}
		e, announcer := NewEditor(EditorConfig{Store: p.Tables()}), fl.newExternalAnnouncer()
		for i := range 2 {
			p.SetOutage(false)
			p.OutageAfterNextCommit()
			name := fmt.Sprint("p", i)
			change := mustApply(t, e, edit(name, domain.TablePools, name, 0, pool(name, "u"+name)))
			began := time.Now()
			told := announcer.Tell(ctx, e.Recent(change))
			if len(told) != 1 || told[0] != "h004" || fl.hosts["h004"].follower.Revision() != change.Revision {
				t.Fatalf("told %v, revision %d", told, fl.hosts["h004"].follower.Revision())
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("telling took %v", took)
			}
		}
	})
}

// TestEarlyChangeWaitsForTheOnesBefore checks that a follower applies a change
// only after all earlier ones, and only once.
func TestEarlyChangeWaitsForTheOnesBefore(t *testing.T) {
	list := make([]domain.Change, 4)
	for i := range list {
		name := fmt.Sprint("p", i)
		e := edit(name, domain.TablePools, name, 0, pool(name, "u"+name))
		list[i] = domain.Change{Revision: domain.Revision(i + 1), Table: e.Table, Row: e.Row, After: e.Value}
	}
	f := NewFollower(FollowerConfig{})
	if err := f.Announce(t.Context(), list[:1]); err != ErrNotReady || f.Revision() != 0 {
		t.Fatalf("a host without tables: %v, revision %d", err, f.Revision())
	}
	f.ready.Store(true)
	for _, step := range []struct {
		changes []domain.Change
		want    domain.Revision
	}{{list[2:3], 0}, {list[3:4], 0}, {list[:1], 1}, {list[:2], 4}, {list, 4}} {
		if err := f.Announce(t.Context(), step.changes); err != nil || f.Revision() != step.want {
			t.Fatalf("after revision %d: %v, revision %d in force, want %d", step.changes[0].Revision, err, f.Revision(), step.want)
		}
	}
	if len(f.pending) != 0 || len(f.Pools()) != 4 || f.count.announced.Value() != 4 {
		t.Errorf("%d changes kept, %d pools, %d counted", len(f.pending), len(f.Pools()), f.count.announced.Value())
	}
}
