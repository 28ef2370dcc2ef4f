package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/tablefile"
	"greengagespoke/domain"
)

// getFlags are the flags of "tables get".
type getFlags struct {
	store storeFlags
	table string
	row   string
}

func tablesGetCommand() *command {
	flags := new(getFlags)
	return &command{
		name:    "get",
		summary: "print the tables as YAML",
		help: `The output can be edited and given to "tables apply". Its revision makes a row
that somebody else has changed meanwhile a conflict.

` + storeFlagsHelp,
		define: func(sc *flaggy.Subcommand) {
			flags.store.define(sc)
			sc.String(&flags.table, "", "table", "only this table: routes or pools")
			sc.String(&flags.row, "", "row", "only the rows of this name")
		},
		run: flags.run,
	}
}

func (f *getFlags) run(ctx context.Context, streams Streams) error {
	if f.table != "" {
		if err := checkTable(f.table); err != nil {
			return err
		}
	}
	editor, err := f.store.editor()
	if err != nil {
		return err
	}
	snapshot, err := editor.Snapshot(ctx)
	if err != nil {
		return err
	}
	var rows []domain.VersionedRow
	for _, row := range snapshot.Rows {
		if (f.table == "" || domain.TableName(f.table) == row.Table) && (f.row == "" || f.row == row.Row) {
			rows = append(rows, row)
		}
	}
	if f.row != "" && len(rows) == 0 {
		return usageError("no row is named %q; \"tables get\" without --row prints all", f.row)
	}
	file, err := tablefile.FromRows(snapshot.Revision, rows)
	if err != nil {
		return err
	}
	text, err := file.Encode()
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(text)
	return err
}
