package tablefile

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"greengagespoke/domain"
)

const validTables = `routes:
  - name: drafts
    pool: drafting-models
    model: plan-notes
    class: patient
    max_output_tokens: 400
    timeout: 10m
pools:
  - name: drafting-models
    kind: model
    model: plan-notes
    version: 3
    upstreams:
      - id: prefill-1
        zone: dakar-1
        address: 127.0.0.1:9001
        role: prefill
        prefill_rate: 20000
      - id: decode-1
        zone: dakar-1
        address: 127.0.0.1:9002
        role: decode
        slots: 20
        pieces: 400
`

// TestRoundTrip checks that the output of "tables get" parses back to the same rows.
func TestRoundTrip(t *testing.T) {
	f, err := Parse("tables.yaml", []byte(validTables))
	if err != nil {
		t.Fatal(err)
	}
	rows := rowsFromFile(t, f)
	got, err := FromRows(7, rows)
	if err != nil {
		t.Fatal(err)
	}
	text, err := got.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("out.yaml", text)
	if err != nil {
		t.Fatalf("%v in:\n%s", err, text)
	}
	changes, err := Diff(again, rows, true)
	if err != nil || len(changes) != 0 || again.Revision != 7 {
		t.Errorf("revision %d, changes %v, error %v; want 7, none, none", again.Revision, changes, err)
	}
}

func TestBadTables(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		key, problem   string
	}{
		{"unknown key", "    class: patient", "    clas: patient", 5, "routes[0].clas", "unknown key"},
		{"no unit", "timeout: 10m", "timeout: 10", 7, "routes[0].timeout", "has no unit"},
		{"no name", "  - name: drafts\n    pool", "  - pool", 2, "routes[0].name", "missing"},
		{"text for number", "slots: 20", "slots: many", 23, "pools[0].upstreams[1].slots", "wrong type"},
		{"name twice", "pools:", "  - name: drafts\n    pool: p\n    class: patient\npools:", 8, "routes[1].name", "used twice"},
		{"negative revision", "routes:", "revision: -1\nroutes:", 1, "revision", "negative"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validTables, c.old, c.new, 1)
			if text == validTables {
				t.Fatal("the edit changes nothing")
			}
			_, err := Parse("tables.yaml", []byte(text))
			var fault *Error
			if !errors.As(err, &fault) {
				t.Fatalf("error is %v, want *Error", err)
			}
			if fault.Line != c.line || fault.Key != c.key || !strings.Contains(fault.Problem, c.problem) {
				t.Errorf("fault is %q, want line %d, key %q, problem with %q", fault, c.line, c.key, c.problem)
			}
		})
	}
}

// TestDiffOrder checks that a diff adds pools before the routes that use them,
// removes routes before their pools, and removes rows only if prune is set.
func TestDiffOrder(t *testing.T) {
	f, err := Parse("tables.yaml", []byte(validTables))
	if err != nil {
		t.Fatal(err)
	}
	old := []domain.VersionedRow{
		{Table: domain.TablePools, Row: "old", Version: 3, Value: json.RawMessage(`{"name":"old"}`)},
		{Table: domain.TableRoutes, Row: "old", Version: 4, Value: json.RawMessage(`{"name":"old","pool":"old"}`)},
		{Table: domain.TableRoutes, Row: "drafts", Version: 5, Value: json.RawMessage(`{"name":"drafts","pool":"old"}`)},
	}
	kept, err := Diff(f, old, false)
	if err != nil || len(kept) != 2 {
		t.Fatalf("without prune: %d changes, error %v; want 2, none", len(kept), err)
	}
	changes, err := Diff(f, old, true)
	if err != nil {
		t.Fatal(err)
	}
	var order []string
	for _, c := range changes {
		order = append(order, string(c.Table)+"/"+c.Row)
	}
	const want = "pools/drafting-models routes/drafts routes/old pools/old"
	if got := strings.Join(order, " "); got != want {
		t.Errorf("order is %s, want %s", got, want)
	}
	if changes[1].Version != 5 || changes[1].Fields[len(changes[1].Fields)-1].Path != "timeout" {
		t.Errorf("change of routes/drafts is %+v", changes[1])
	}
}

func rowsFromFile(t *testing.T, f *File) []domain.VersionedRow {
	t.Helper()
	changes, err := Diff(f, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	rows := make([]domain.VersionedRow, len(changes))
	for i, c := range changes {
		rows[i] = domain.VersionedRow{Table: c.Table, Row: c.Row, Version: 1, Value: c.After}
	}
	return rows
}
