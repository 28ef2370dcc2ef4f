package tablefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"greengagespoke/domain"
)

// RowChange is a difference between a file and the current rows.
type RowChange struct {
	Table domain.TableName
	Row   string
	// Version is the version of the current row; 0 where there is none.
	Version domain.Revision
	// Before is the current row and After the wanted one. Before is empty for a
	// new row, After for a row to remove.
	Before, After json.RawMessage
	Fields        []FieldChange
}

// FieldChange is a difference in one field of a row.
type FieldChange struct {
	// Path is the key of the field, such as "upstreams[2].zone".
	Path string
	// Before and After are JSON; empty where the field is absent.
	Before, After string
}

// rowKey names a row.
type rowKey struct {
	table domain.TableName
	row   string
}

// Diff returns what must change in the current rows to match the file, in an
// order in which no route ever lacks its pool: pools, routes, removed routes,
// removed pools. Rows that the file does not name are removed only with prune.
func Diff(f *File, current []domain.VersionedRow, prune bool) ([]RowChange, error) {
	have := make(map[rowKey]domain.VersionedRow, len(current))
	for _, row := range current {
		have[rowKey{row.Table, row.Row}] = row
	}
	changes, named, err := wantedChanges(f, have)
	if err != nil {
		return nil, err
	}
	if !prune {
		return changes, nil
	}
	return append(changes, removals(current, named)...), nil
}

// wantedChanges returns the changes for the rows of the file and their keys.
func wantedChanges(f *File, have map[rowKey]domain.VersionedRow) ([]RowChange, map[rowKey]bool, error) {
	var changes []RowChange
	named := make(map[rowKey]bool)
	add := func(key rowKey, value any) error {
		named[key] = true
		change, differs, err := compare(key, value, have[key])
		if differs {
			changes = append(changes, change)
		}
		return err
	}
	for _, pool := range f.Pools {
		if err := add(rowKey{domain.TablePools, string(pool.Name)}, pool); err != nil {
			return nil, nil, err
		}
	}
	for _, route := range f.Routes {
		if err := add(rowKey{domain.TableRoutes, string(route.Name)}, route); err != nil {
			return nil, nil, err
		}
	}
	return changes, named, nil
}

func compare(key rowKey, value any, old domain.VersionedRow) (RowChange, bool, error) {
	after, err := json.Marshal(value)
	if err != nil {
		return RowChange{}, false, fmt.Errorf("encode row %s/%s: %w", key.table, key.row, err)
	}
	fields := DiffJSON(old.Value, after)
	change := RowChange{
		Table: key.table, Row: key.row, Version: old.Version,
		Before: old.Value, After: after, Fields: fields,
	}
	return change, len(fields) > 0, nil
}

// removals returns the removal of every row that is not named, routes first.
func removals(current []domain.VersionedRow, named map[rowKey]bool) []RowChange {
	var out []RowChange
	for _, row := range current {
		if named[rowKey{row.Table, row.Row}] {
			continue
		}
		out = append(out, Removal(row))
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].Table == domain.TableRoutes && out[j].Table != domain.TableRoutes
	})
	return out
}

// DiffJSON returns the differences between two JSON values, sorted by path. An
// empty text stands for an absent value.
func DiffJSON(before, after json.RawMessage) []FieldChange {
	old, wanted := flatten(before), flatten(after)
	var out []FieldChange
	for path, value := range old {
		if wanted[path] != value {
			out = append(out, FieldChange{Path: path, Before: value, After: wanted[path]})
		}
	}
	for path, value := range wanted {
		if _, there := old[path]; !there {
			out = append(out, FieldChange{Path: path, After: value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// flatten returns the scalar values of a JSON text by their paths. A text that
// is not JSON is one value with an empty path.
func flatten(text json.RawMessage) map[string]string {
	out := make(map[string]string)
	if len(text) == 0 {
		return out
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		out[""] = string(text)
		return out
	}
	flattenValue(value, "", out)
	return out
}

func flattenValue(value any, path string, out map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			at := key
			if path != "" {
				at = path + "." + key
			}
			flattenValue(item, at, out)
		}
	case []any:
		for i, item := range v {
			flattenValue(item, fmt.Sprintf("%s[%d]", path, i), out)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		out[path] = string(text)
	}
}
