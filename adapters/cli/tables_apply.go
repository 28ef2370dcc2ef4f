package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/tablefile"
)

// applyFlags are the flags of "tables apply".
type applyFlags struct {
	store storeFlags
	edit  editFlags
	tell  announceFlags
	wait  waitFlags
	file  string
	prune bool
}

func tablesApplyCommand() *command {
	flags := new(applyFlags)
	return &command{
		name:    "apply",
		summary: "change the tables to what a file says",
		help: `Each row is changed on its own, and only where it is still as it was read. Where
the file has a revision, a row that changed after it is a conflict. Rows that the
file does not name stay, unless --prune is given.

` + editFlagsHelp + "\n\n" + announceFlagsHelp + "\n\n" + waitFlagsHelp + "\n\n" + storeFlagsHelp,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *applyFlags) define(sc *flaggy.Subcommand) {
	sc.AddPositionalValue(&f.file, "FILE", 1, true, "YAML file with routes and pools")
	f.edit.define(sc)
	sc.Bool(&f.prune, "", "prune", "remove rows that the file does not name")
	f.tell.define(sc)
	f.wait.define(sc)
	f.store.define(sc)
}

func (f *applyFlags) run(ctx context.Context, streams Streams) error {
	file, err := tablefile.Load(f.file)
	if err != nil {
		return err
	}
	if err := f.edit.check(); err != nil {
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
	changes, err := tablefile.Diff(file, snapshot.Rows, f.prune)
	if err != nil {
		return err
	}
	told, err := f.tell.notifier(ctx, &f.store, editor, f.edit)
	if err != nil {
		return err
	}
	defer told.close()
	change := &changeSet{editor: editor, flags: f.edit, notifier: told, streams: streams, read: file.Revision, locate: file.Locate}
	revision, err := change.make(ctx, snapshot, changes)
	if err != nil || f.edit.dryRun {
		return err
	}
	return f.wait.run(ctx, streams, &f.store, revision)
}
