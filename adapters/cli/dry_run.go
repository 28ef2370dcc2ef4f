package cli

import (
	"context"
	"fmt"
	"sort"

	"greengagespoke/adapters/tablefile"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
	"greengagespoke/tables"
)

// dryRun applies changes to an in-memory copy of the tables, so that they pass the
// same checks as in the table service. Rows that a newer program version wrote may
// not pass the checks of this version and cannot be copied; in that case nothing is
// checked.
func dryRun(ctx context.Context, snapshot ports.TableSnapshot, changes []tablefile.RowChange) error {
	scratch := newTableCopy()
	for _, row := range poolsFirst(snapshot.Rows) {
		if err := scratch.apply(ctx, row.Table, row.Row, row.Value); err != nil {
			return ctx.Err()
		}
	}
	for _, c := range changes {
		if err := scratch.apply(ctx, c.Table, c.Row, c.After); err != nil {
			return err
		}
	}
	return nil
}

// tableCopy is an in-memory copy of the tables.
type tableCopy struct {
	editor *tables.Editor
	// versions maps "table.row" to the version of the row.
	versions map[string]domain.Revision
	edits    int
}

func newTableCopy() *tableCopy {
	return &tableCopy{
		editor:   tables.NewEditor(tables.EditorConfig{Store: platform.New(platform.Config{}).Tables()}),
		versions: make(map[string]domain.Revision),
	}
}

func (s *tableCopy) apply(ctx context.Context, table domain.TableName, row string, value []byte) error {
	s.edits++
	key := string(table) + "." + row
	accepted, err := s.editor.Apply(ctx, domain.Edit{
		ID:          fmt.Sprintf("dry-run.%d", s.edits),
		Table:       table,
		Row:         row,
		BaseVersion: s.versions[key],
		Value:       value,
		Editor:      "dry-run",
	})
	if err == nil {
		s.versions[key] = accepted.Revision
	}
	return err
}

func poolsFirst(rows []domain.VersionedRow) []domain.VersionedRow {
	sorted := append([]domain.VersionedRow(nil), rows...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return sorted[i].Table == domain.TablePools && sorted[j].Table != domain.TablePools
	})
	return sorted
}
