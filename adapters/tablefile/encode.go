package tablefile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"go.yaml.in/yaml/v3"

	"greengagespoke/domain"
)

// yamlIndent is the indentation of nested keys, in spaces.
const yamlIndent = 2

// FromRows returns the file content for rows of the table service, sorted by name.
// It returns an error if a row does not decode.
func FromRows(revision domain.Revision, rows []domain.VersionedRow) (*File, error) {
	f := &File{Revision: revision}
	for _, row := range rows {
		if err := f.add(row); err != nil {
			return nil, err
		}
	}
	sort.Slice(f.Routes, func(i, j int) bool { return f.Routes[i].Name < f.Routes[j].Name })
	sort.Slice(f.Pools, func(i, j int) bool { return f.Pools[i].Name < f.Pools[j].Name })
	return f, nil
}

func (f *File) add(row domain.VersionedRow) error {
	if row.Table == domain.TableRoutes {
		var route domain.Route
		if err := json.Unmarshal(row.Value, &route); err != nil {
			return unreadableRowError(row, err)
		}
		f.Routes = append(f.Routes, route)
		return nil
	}
	var pool domain.Pool
	if err := json.Unmarshal(row.Value, &pool); err != nil {
		return unreadableRowError(row, err)
	}
	f.Pools = append(f.Pools, pool)
	return nil
}

func unreadableRowError(row domain.VersionedRow, err error) error {
	return fmt.Errorf("row %s/%s at version %d is unreadable: %w; replace it with \"tables edit\"",
		row.Table, row.Row, row.Version, err)
}

// Encode returns the YAML text of a file.
func (f *File) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	return out.Bytes(), nil
}
