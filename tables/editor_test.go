package tables

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

func TestEditsAndAuditTrail(t *testing.T) {
	p := platform.New(platform.Config{})
	e := NewEditor(EditorConfig{Store: p.Tables()})
	created := mustApply(t, e, edit("e1", domain.TablePools, "p", 0, pool("p", "u1")))
	mustApply(t, e, edit("e2", domain.TableRoutes, "r", 0, route("r", "m", "p")))
	changed := mustApply(t, e, edit("e3", domain.TablePools, "p", created.Revision, pool("p", "u1", "u2")))
	if !sameJSON(changed.Before, created.After) {
		t.Errorf("before is %s, want %s", changed.Before, created.After)
	}
	_, err := e.Apply(t.Context(), edit("e4", domain.TablePools, "p", created.Revision, pool("p")))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != changed.Revision || conflict.By != "awa" || !sameJSON(conflict.Found, changed.After) || len(conflict.Wanted) == 0 {
		t.Errorf("conflict: %+v", err)
	}
	history, err := e.History(t.Context(), HistoryFilter{Table: domain.TablePools, Limit: 5})
	if err != nil || len(history) != 2 || history[1].EditID != "e3" {
		t.Errorf("history of pools: %v %v", history, err)
	}
	if late, _ := e.History(t.Context(), HistoryFilter{Since: time.Now().Add(time.Hour)}); len(late) != 0 {
		t.Errorf("history of the future: %v", late)
	}
	snapshot, err := NewEditor(EditorConfig{Store: p.Tables()}).Snapshot(t.Context())
	if err != nil || snapshot.Revision != 3 || len(snapshot.Rows) != 2 || snapshot.Rows[0].Version != 3 {
		t.Errorf("snapshot: %v %v", snapshot, err)
	}
}

func TestRefusedEdits(t *testing.T) {
	p := platform.New(platform.Config{})
	e := NewEditor(EditorConfig{Store: p.Tables()})
	mustApply(t, e, edit("p1", domain.TablePools, "p", 0, pool("p", "u1")))
	mustApply(t, e, edit("r1", domain.TableRoutes, "r", 0, route("r", "m", "p")))
	var inUse *InUseError
	if _, err := e.Apply(t.Context(), edit("x1", domain.TablePools, "p", 1, nil)); !errors.As(err, &inUse) || inUse.Routes[0] != "r" {
		t.Errorf("removal of a pool in use: %v", err)
	}
	var unknown *UnknownPoolError
	if _, err := e.Apply(t.Context(), edit("x2", domain.TableRoutes, "r2", 0, route("r2", "m2", "q"))); !errors.As(err, &unknown) || unknown.Pool != "q" {
		t.Errorf("route to no pool: %v", err)
	}
	cases := []struct {
		field string
		edit  domain.Edit
	}{
		{"model", edit("x3", domain.TableRoutes, "r2", 0, route("r2", "m", "p"))},
		{"upstreams[0].id", edit("x4", domain.TablePools, "p2", 0, pool("p2", "u1"))},
		{"class", edit("x5", domain.TableRoutes, "r2", 0, domain.Route{Name: "r2", Pool: "p", Model: "m2", Class: "slow"})},
		{"colour", edit("x6", domain.TableRoutes, "r2", 0, map[string]string{"colour": "red"})},
		{"name", edit("x7", domain.TableRoutes, "r2", 0, route("other", "m2", "p"))},
		{"value", edit("x8", domain.TableRoutes, "r2", 0, nil)},
		{"editor", domain.Edit{ID: "x9", Table: domain.TableRoutes, Row: "r", BaseVersion: 2}},
		{"edit id", edit("a/b", domain.TableRoutes, "r", 2, nil)},
		{"pool", edit("x10", domain.TableRoutes, "r2", 0, domain.Route{Name: "r2", Pool: "p", PathPrefix: "/x"})},
		{"kind", edit("x11", domain.TablePools, "p", 1, domain.Pool{Name: "p", Kind: domain.PoolService})},
	}
	for _, c := range cases {
		var invalid *InvalidRowError
		if _, err := e.Apply(t.Context(), c.edit); !errors.As(err, &invalid) || invalid.Field != c.field || invalid.Remedy == "" {
			t.Errorf("edit %s: error %v, want one about %s", c.edit.ID, err, c.field)
		}
	}
	if snapshot, _ := e.Snapshot(t.Context()); snapshot.Revision != 2 {
		t.Errorf("a refused edit raised the revision to %d", snapshot.Revision)
	}
}

func TestRetriedEditFindsItsOwnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		e := NewEditor(EditorConfig{Store: p.Tables()})
		p.LoseAnswers(1)
		first := mustApply(t, e, edit("e1", domain.TablePools, "p", 0, pool("p", "u1")))
		again := mustApply(t, NewEditor(EditorConfig{Store: p.Tables()}), edit("e1", domain.TablePools, "p", 0, pool("p", "u1")))
		if first.Revision != 1 || again.Revision != 1 {
			t.Errorf("revisions %d and %d, want 1 twice", first.Revision, again.Revision)
		}
		var reused *EditIDError
		if _, err := e.Apply(t.Context(), edit("e1", domain.TablePools, "q", 0, pool("q", "u2"))); !errors.As(err, &reused) {
			t.Errorf("another edit with the same id: %v", err)
		}
		p.SetCommitHook(func(ports.Txn) platform.Fault {
			p.SetOutage(true)
			return platform.FaultLoseAnswer
		})
		if _, err := e.Apply(t.Context(), edit("e2", domain.TablePools, "q", 0, pool("q", "u2"))); !errors.Is(err, ports.ErrStoreUnknown) {
			t.Errorf("outage after a lost answer: %v", err)
		}
		if _, err := e.Apply(t.Context(), edit("e3", domain.TablePools, "s", 0, pool("s"))); !errors.Is(err, ports.ErrStoreDown) || errors.Is(err, ports.ErrStoreUnknown) {
			t.Errorf("edit during an outage: %v", err)
		}
		p.SetOutage(false)
		p.SetCommitHook(nil)
		if c := mustApply(t, e, edit("e2", domain.TablePools, "q", 0, pool("q", "u2"))); c.Revision != 2 {
			t.Errorf("retried edit got revision %d, want 2", c.Revision)
		}
	})
}

// TestRacingEditorsKeepTheTablesSound lets editors add routes to a pool while
// others remove the pool, with stale reads and lost answers. No route may be left
// without its pool.
func TestRacingEditorsKeepTheTablesSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{Latency: 4 * time.Millisecond, Seed: 3})
		p.SetStaleReads(30*time.Millisecond, 0.3)
		p.SetAnswerLoss(0.05)
		var wg sync.WaitGroup
		for worker := range 6 {
			wg.Go(func() { editConcurrently(t, p, worker) })
		}
		wg.Wait()
		p.SetStaleReads(0, 0)
		e := NewEditor(EditorConfig{Store: p.Tables()})
		history, err := e.History(t.Context(), HistoryFilter{Limit: 10000})
		if err != nil || len(history) < 10 {
			t.Fatalf("%d changes, %v", len(history), err)
		}
		checkAuditTrail(t, history)
	})
}

func editConcurrently(t *testing.T, p *platform.Platform, worker int) {
	e := NewEditor(EditorConfig{Store: p.Tables()})
	for i := range 12 {
		snapshot, err := e.Snapshot(t.Context())
		if err != nil {
			continue
		}
		versions := make(map[string]domain.Revision)
		for _, row := range snapshot.Rows {
			versions[row.Row] = row.Version
		}
		id := fmt.Sprintf("w%d-%d", worker, i)
		name := fmt.Sprintf("r%d", worker)
		switch {
		case worker < 2 && versions["p"] > 0:
			_, _ = e.Apply(t.Context(), edit(id, domain.TablePools, "p", versions["p"], nil))
		case worker < 2:
			_, _ = e.Apply(t.Context(), edit(id, domain.TablePools, "p", 0, pool("p", "u1")))
		case versions[name] > 0:
			_, _ = e.Apply(t.Context(), edit(id, domain.TableRoutes, name, versions[name], nil))
		default:
			_, _ = e.Apply(t.Context(), edit(id, domain.TableRoutes, name, 0, route(name, name, "p")))
		}
	}
}

// checkAuditTrail replays the audit trail and checks the state after each change.
func checkAuditTrail(t *testing.T, history []domain.Change) {
	t.Helper()
	rows := make(map[string]json.RawMessage)
	seen := make(map[string]bool)
	for i, c := range history {
		key := string(c.Table) + "/" + c.Row
		if c.Revision != domain.Revision(i+1) || seen[c.EditID] || !sameJSON(c.Before, rows[key]) {
			t.Fatalf("change %d is out of line: %+v", i, c)
		}
		seen[c.EditID] = true
		rows[key] = c.After
		if len(c.After) == 0 {
			delete(rows, key)
		}
		if _, exists := rows["pools/p"]; !exists && len(rows) > 0 {
			t.Fatalf("revision %d has %d routes to a removed pool", c.Revision, len(rows))
		}
	}
}
