package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/tablefile"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// rowEditFlags are the flags of "tables edit".
type rowEditFlags struct {
	store    storeFlags
	edit     editFlags
	tell     announceFlags
	wait     waitFlags
	table    string
	row      string
	set      []string
	unset    []string
	remove   bool
	revision int64
}

func tablesEditCommand() *command {
	flags := new(rowEditFlags)
	return &command{
		name:    "edit",
		summary: "change, add or remove one row",
		help: `Examples:
  tables edit routes drafts --set timeout=10m --unset retry_percent
  tables edit pools models --set 'upstreams[decode-1].slots=16'
  tables edit pools models --set 'upstreams[+]={id: p9, zone: z1, address: 10.0.0.9:80, role: prefill}'
  tables edit routes drafts --remove

An item of a list is named by its number from 0 or by its id; + adds one. With
--revision a row that changed after that revision is a conflict.

` + editFlagsHelp + "\n\n" + announceFlagsHelp + "\n\n" + waitFlagsHelp + "\n\n" + storeFlagsHelp,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *rowEditFlags) define(sc *flaggy.Subcommand) {
	sc.AddPositionalValue(&f.table, "TABLE", 1, true, "routes or pools")
	sc.AddPositionalValue(&f.row, "ROW", 2, true, "name of the row")
	sc.StringSlice(&f.set, "", "set", "KEY=VALUE with the value in YAML; repeatable")
	sc.StringSlice(&f.unset, "", "unset", "KEY to remove; repeatable")
	sc.Bool(&f.remove, "", "remove", "remove the row")
	sc.Int64(&f.revision, "", "revision", "revision at which the row was read (default: now)")
	f.edit.define(sc)
	f.tell.define(sc)
	f.wait.define(sc)
	f.store.define(sc)
}

func (f *rowEditFlags) check() error {
	if err := checkTable(f.table); err != nil {
		return err
	}
	if f.remove == (len(f.set)+len(f.unset) > 0) {
		return usageError("give either --remove or --set and --unset")
	}
	return f.edit.check()
}

func (f *rowEditFlags) run(ctx context.Context, streams Streams) error {
	if err := f.check(); err != nil {
		return err
	}
	editor, err := f.store.editor()
	if err != nil {
		return err
	}
	snapshot, err := editor.Snapshot(ctx)
	if err != nil {
		return err
	}
	changes, err := f.changes(snapshot)
	if err != nil {
		return err
	}
	told, err := f.tell.notifier(ctx, &f.store, editor, f.edit)
	if err != nil {
		return err
	}
	defer told.close()
	change := &changeSet{editor: editor, flags: f.edit, notifier: told, streams: streams, read: domain.Revision(f.revision)}
	revision, err := change.make(ctx, snapshot, changes)
	if err != nil || f.edit.dryRun {
		return err
	}
	return f.wait.run(ctx, streams, &f.store, revision)
}

// changes returns the change of the row, or none if the row already has the wanted
// values.
func (f *rowEditFlags) changes(snapshot ports.TableSnapshot) ([]tablefile.RowChange, error) {
	current := domain.VersionedRow{Table: domain.TableName(f.table), Row: f.row}
	for _, row := range snapshot.Rows {
		if row.Table == current.Table && row.Row == current.Row {
			current = row
		}
	}
	if f.remove {
		if current.Version == 0 {
			return nil, usageError("no row %s/%s; \"tables get\" prints all", f.table, f.row)
		}
		return []tablefile.RowChange{tablefile.Removal(current)}, nil
	}
	return tablefile.EditRow(current, f.set, f.unset)
}
