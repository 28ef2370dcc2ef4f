package tablefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"greengagespoke/domain"
)

// RowChange is a difference between the wanted and the current value of a row.
type RowChange struct {
	Table domain.TableName
	Row   string
	// Version is the version of the current row, or 0 if the row does not exist.
	Version domain.Revision
	// Before is the current row and After the wanted one. Before is empty if the
	// row is new, After if it is to be removed.
	Before, After json.RawMessage
	Fields        []FieldChange
}

// FieldChange is a difference in one field of a row.
type FieldChange struct {
	// Path is the key of the field, such as "upstreams[2].zone".
	Path string
	// Before and After are JSON values, empty if the field is absent.
	Before, After string
}

// rowKey identifies a row.
type rowKey struct {
	table domain.TableName
	row   string
}

// Diff returns the changes that make the current rows match the file. They are
// ordered so that the pool of a route always exists: changed pools, changed routes,
// removed routes, removed pools. Rows that are not in the file are removed only if
// prune is set.
func Diff(f *File, current []domain.VersionedRow, prune bool) ([]RowChange, error) {
	have := make(map[rowKey]domain.VersionedRow, len(current))
	for _, row := range current {
		have[rowKey{row.Table, row.Row}] = row
	}
	changes, named, err := changesToFileRows(f, have)
	if err != nil {
		return nil, err
	}
	if !prune {
		return changes, nil
	}
	return append(changes, removals(current, named)...), nil
}

// changesToFileRows returns the changes for the rows in the file, and the keys of
// all rows in the file.
func changesToFileRows(f *File, have map[rowKey]domain.VersionedRow) ([]RowChange, map[rowKey]bool, error) {
	var changes []RowChange
	named := make(map[rowKey]bool)
	add := func(key rowKey, value any) error {
		named[key] = true
		change, differs, err := compareRow(key, value, have[key])
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

func compareRow(key rowKey, value any, old domain.VersionedRow) (RowChange, bool, error) {
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

// removals returns the removal of every row that is not in named, routes first.
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
// empty argument stands for an absent value.
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

// flatten maps the path of each scalar in a JSON text to its JSON value. A text
// that is not JSON becomes a single value with an empty path.
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
