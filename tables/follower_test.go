package tables

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

const (
	// messageLoss is the share of messages between hosts that are lost.
	messageLoss = 0.01
	// changes is the number of changes whose propagation is measured.
	changes = 8
)

// bubble runs a test under virtual time, with a context that ends before the
// bubble does.
func bubble(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

func (fl *fleet) ready() bool {
	for _, h := range fl.hosts {
		if !h.follower.Ready() {
			return false
		}
	}
	return true
}

// TestChangeIsInForceEverywhere measures the time until an accepted change is
// applied on every host, with the store up and with an outage right after the
// change was accepted.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		limit  time.Duration
		outage bool
	}{{9, 3 * time.Second, false}, {9, 3 * time.Second, true}, {340, 14 * time.Second, false}, {340, 14 * time.Second, true}} {
		t.Run(fmt.Sprintf("hosts=%d,outage=%v", c.hosts, c.outage), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				p := platform.New(platform.Config{WritesPerSecond: 400, ReadsPerSecond: 2000, Latency: 10 * time.Millisecond})
				fl := newFleet(t, p, c.hosts, messageLoss)
				fl.start(ctx)
				fl.waitUntil(time.Minute, fl.ready)
				e := NewEditor(EditorConfig{Store: p.Tables(), Follower: fl.hosts["h000"].follower})
				var worst time.Duration
				for i := range changes {
					p.SetOutage(false)
					time.Sleep(3 * time.Second)
					if c.outage {
						p.OutageAfterNextCommit()
					}
					change := mustApply(t, e, edit(fmt.Sprint("e", i), domain.TablePools, fmt.Sprint("p", i), 0, pool(fmt.Sprint("p", i), fmt.Sprint("u", i))))
					took := fl.waitUntil(c.limit, func() bool { return fl.lowestRevision() >= change.Revision })
					worst = max(worst, took)
				}
				t.Logf("worst of %d changes: %v", changes, worst)
			})
		})
	}
}

// TestChangeByAnOutsideEditorIsInForceEverywhere uses an editor that is not a
// host, so that hosts learn of the change from the store alone.
func TestChangeByAnOutsideEditorIsInForceEverywhere(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{ReadsPerSecond: 2000, Latency: 10 * time.Millisecond})
		fl := newFleet(t, p, 9, messageLoss)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		change := mustApply(t, NewEditor(EditorConfig{Store: p.Tables()}), edit("e", domain.TablePools, "p", 0, pool("p", "u")))
		fl.waitUntil(3*time.Second, func() bool { return fl.lowestRevision() >= change.Revision })
	})
}

// TestNoHostGoesBack restarts hosts at random while replicas of the store and
// peers lag, and checks that no host's revision decreases, even across
// restarts.
func TestNoHostGoesBack(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{Latency: 10 * time.Millisecond, Seed: 5})
		fl := newFleet(t, p, 6, messageLoss)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		p.SetStaleReads(8*time.Second, 0.5)
		highest := make(map[domain.HostID]domain.Revision)
		watch := func() {
			for id, h := range fl.hosts {
				revision := h.follower.Revision()
				if h.follower.Ready() && revision < highest[id] {
					t.Errorf("host %s went from revision %d to %d", id, highest[id], revision)
				}
				highest[id] = max(highest[id], revision)
			}
		}
		e := NewEditor(EditorConfig{Store: p.Tables()})
		for i := range 30 {
			name := fmt.Sprint("p", i)
			mustApply(t, e, edit(name, domain.TablePools, name, 0, pool(name, "u"+name)))
			if i%3 == 0 {
				fl.add(fl.order[i%len(fl.order)]).start(ctx)
			}
			for range 100 {
				time.Sleep(20 * time.Millisecond)
				watch()
			}
		}
		p.SetStaleReads(0, 0)
		fl.waitUntil(5*time.Second, func() bool { return fl.lowestRevision() == 30 })
	})
}

// TestStartDuringAnOutage starts a host that can only reach its peers, one of
// which has stale tables. It must start with the newest revision among them.
func TestStartDuringAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		fl := newFleet(t, p, 4, 0)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		fl.hosts["h000"].setPartitioned(true)
		p.SetStaleReads(time.Hour, 1)
		e := NewEditor(EditorConfig{Store: p.Tables(), Follower: fl.hosts["h001"].follower})
		p.OutageAfterNextCommit()
		change := mustApply(t, e, edit("e", domain.TablePools, "p", 0, pool("p", "u")))
		fl.waitUntil(3*time.Second, func() bool { return fl.hosts["h003"].follower.Revision() == change.Revision })
		fl.hosts["h000"].setPartitioned(false)
		late := fl.add("late")
		late.start(ctx)
		fl.waitUntil(3*time.Second, late.follower.Ready)
		if late.follower.Revision() != change.Revision {
			t.Fatalf("started with revision %d, want %d", late.follower.Revision(), change.Revision)
		}
	})
}

// TestNobodyHasTables starts all hosts during an outage. No host may report that
// it is ready before the store is back, because none knows the current tables.
func TestNobodyHasTables(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		mustApply(t, NewEditor(EditorConfig{Store: p.Tables()}), edit("e", domain.TablePools, "p", 0, pool("p", "u")))
		p.SetOutage(true)
		fl := newFleet(t, p, 3, 0)
		fl.start(ctx)
		time.Sleep(time.Minute)
		for id, h := range fl.hosts {
			if _, err := h.follower.Snapshot(ctx); h.follower.Ready() || !errors.Is(err, ErrNotReady) {
				t.Errorf("host %s is ready with revision %d", id, h.follower.Revision())
			}
		}
		p.SetOutage(false)
		fl.waitUntil(5*time.Second, func() bool { return fl.ready() && fl.lowestRevision() == 1 })
	})
}

// TestStartWithASlowStore starts a single host, which has no peers to load tables
// from, with a store that needs longer than the first attempt allows.
func TestStartWithASlowStore(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		mustApply(t, NewEditor(EditorConfig{Store: p.Tables()}), edit("e", domain.TablePools, "p", 0, pool("p", "u")))
		p.SetLatency(4 * time.Second)
		fl := newFleet(t, p, 1, 0)
		fl.start(ctx)
		fl.waitUntil(time.Minute, fl.ready)
		if fl.lowestRevision() != 1 {
			t.Errorf("started with revision %d, want 1", fl.lowestRevision())
		}
	})
}

// TestUnreadableRowsKeepTheLastGoodValue writes rows that cannot be decoded, as a
// faulty editor would. The host must keep the last good value and report the row.
func TestUnreadableRowsKeepTheLastGoodValue(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		fl := newFleet(t, p, 1, 0)
		fl.start(ctx)
		e := NewEditor(EditorConfig{Store: p.Tables()})
		good := mustApply(t, e, edit("e1", domain.TablePools, "p", 0, pool("p", "u")))
		f := fl.hosts["h000"].follower
		fl.waitUntil(5*time.Second, func() bool { return f.Revision() == 1 })

		st, h, err := e.refresh(ctx)
		if err != nil {
			t.Fatal(err)
		}
		broken := domain.Change{Revision: 2, EditID: "b", Table: domain.TablePools, Row: "p", After: json.RawMessage(`{"name":"p","kind":["new"]}`)}
		txn, _ := changeTxn(broken, h, st.advance([]domain.Change{broken}).digest)
		if res, err := p.Tables().Commit(ctx, txn); err != nil || !res.Applied {
			t.Fatalf("broken edit: %v %v", res, err)
		}
		fl.waitUntil(5*time.Second, func() bool { return f.Revision() == 2 })
		kept, ok := f.Pool("p")
		bad := f.Unreadable()
		if !ok || len(kept.Upstreams) != 1 || len(bad) != 1 || bad[0].Version != 2 || bad[0].LastGood != good.Revision {
			t.Fatalf("pool %v %v, unreadable %+v", kept, ok, bad)
		}
		mustApply(t, e, edit("e2", domain.TablePools, "p", 2, pool("p", "u", "v")))
		fl.waitUntil(5*time.Second, func() bool { return f.Revision() == 3 })
		if kept, _ := f.Pool("p"); len(kept.Upstreams) != 2 || len(f.Unreadable()) != 0 {
			t.Fatalf("after the repair: %v, unreadable %v", kept, f.Unreadable())
		}

		envelope := ports.Write{Key: rowKey{domain.TablePools, "p"}.storeKey(), Value: []byte("{")}
		next, _ := json.Marshal(head{Revision: 4})
		if _, err := p.Tables().Commit(ctx, ports.Txn{Then: []ports.Write{envelope, {Key: keyHead, Value: next}}}); err != nil {
			t.Fatal(err)
		}
		fl.waitUntil(5*time.Second, func() bool { return f.Revision() == 4 })
		if kept, ok := f.Pool("p"); !ok || len(kept.Upstreams) != 2 || len(f.Unreadable()) != 1 {
			t.Fatalf("after a broken envelope: %v %v, unreadable %v", kept, ok, f.Unreadable())
		}
	})
}

func TestLookups(t *testing.T) {
	st := emptyState()
	for i, r := range []domain.Route{
		{Name: "a", Pool: "s", PathPrefix: "/ledger/"},
		{Name: "b", Pool: "s", PathPrefix: "/"},
		{Name: "c", Pool: "s", PathPrefix: "/ledger/old/"},
		route("d", "drafts", "m"),
	} {
		value, _ := json.Marshal(r)
		st = st.advance([]domain.Change{{Revision: domain.Revision(i + 1), Table: domain.TableRoutes, Row: string(r.Name), After: value}})
	}
	for path, want := range map[string]domain.RouteName{"/ledger/1": "a", "/ledger": "b", "/ledger/old/2": "c"} {
		if r, ok := st.view.routeForPath(path); !ok || r.Name != want {
			t.Errorf("path %s leads to %q %v, want %s", path, r.Name, ok, want)
		}
	}
	if _, ok := st.view.routeForPath("ledger"); ok {
		t.Error("a path without a slash has a route")
	}
	if r, ok := st.view.routeForModel("drafts"); !ok || r.Name != "d" {
		t.Errorf("model leads to %q %v", r.Name, ok)
	}
}

// stateWithRows returns a state with the given number of rows.
func stateWithRows(b *testing.B, rows int) *state {
	list := make([]domain.VersionedRow, rows)
	for i := range list {
		name := fmt.Sprintf("r%05d", i)
		value, err := json.Marshal(route(name, "model-"+name, "p"))
		if err != nil {
			b.Fatal(err)
		}
		list[i] = domain.VersionedRow{Table: domain.TableRoutes, Row: name, Version: domain.Revision(i + 1), Value: value}
	}
	return emptyState().replace(domain.Revision(rows), list)
}

func BenchmarkApplyChange(b *testing.B) {
	for _, rows := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("rows=", rows), func(b *testing.B) {
			st := stateWithRows(b, rows)
			value, _ := json.Marshal(route("r00007", "model-x", "p"))
			change := []domain.Change{{Revision: st.revision + 1, Table: domain.TableRoutes, Row: "r00007", After: value}}
			b.ReportAllocs()
			for b.Loop() {
				st.advance(change)
			}
		})
	}
}

func BenchmarkLoadSnapshot(b *testing.B) {
	for _, rows := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("rows=", rows), func(b *testing.B) {
			snapshot := stateWithRows(b, rows).snapshot()
			b.ReportAllocs()
			for b.Loop() {
				emptyState().replace(snapshot.Revision, snapshot.Rows)
			}
		})
	}
}

func BenchmarkRouteForModel(b *testing.B) {
	st := stateWithRows(b, 10000)
	b.ReportAllocs()
	for b.Loop() {
		st.view.routeForModel("model-r00007")
	}
}
