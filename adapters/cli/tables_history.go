package cli

import (
	"context"
	"encoding/json"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/tablefile"
	"greengagespoke/domain"
	"greengagespoke/tables"
)

// historyFlags are the flags of "tables history".
type historyFlags struct {
	store  storeFlags
	table  string
	row    string
	editor string
	since  string
	limit  int
	asJSON bool
}

func tablesHistoryCommand() *command {
	flags := &historyFlags{limit: tables.DefaultHistoryLimit}
	return &command{
		name:    "history",
		summary: "print the audit trail: who changed what and when",
		help: `The newest changes are printed, in order of their revisions. With --json each line
is one change with the whole row before and after.

` + storeFlagsHelp,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *historyFlags) define(sc *flaggy.Subcommand) {
	sc.String(&f.table, "", "table", "only changes of this table: routes or pools")
	sc.String(&f.row, "", "row", "only changes of this row")
	sc.String(&f.editor, "", "editor", "only changes by this editor")
	sc.String(&f.since, "", "since", "only changes since a time (2026-01-02T15:04:05Z) or for so long (24h)")
	sc.Int(&f.limit, "", "limit", "largest number of changes")
	sc.Bool(&f.asJSON, "", "json", "print JSON, one change a line")
	f.store.define(sc)
}

func (f *historyFlags) run(ctx context.Context, streams Streams) error {
	filter, err := f.filter(time.Now())
	if err != nil {
		return err
	}
	editor, err := f.store.editor()
	if err != nil {
		return err
	}
	changes, err := editor.History(ctx, filter)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(streams.Out)
	for _, c := range changes {
		if !f.asJSON {
			printEntry(streams, c)
			continue
		}
		if err := encoder.Encode(c); err != nil {
			return err
		}
	}
	return nil
}

func (f *historyFlags) filter(now time.Time) (tables.HistoryFilter, error) {
	filter := tables.HistoryFilter{
		Table:  domain.TableName(f.table),
		Row:    f.row,
		Editor: f.editor,
		Limit:  f.limit,
	}
	if f.limit < 1 {
		return filter, usageError("--limit: %d is not above 0", f.limit)
	}
	if f.table != "" {
		if err := checkTable(f.table); err != nil {
			return filter, err
		}
	}
	if f.since == "" {
		return filter, nil
	}
	since, err := parseSince(f.since, now)
	filter.Since = since
	return filter, err
}

// parseSince parses a point in time, given as a time or as a duration before now.
func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t, nil
	}
	return time.Time{}, usageError("--since: %q is neither a time nor a duration; write 2026-01-02T15:04:05Z or 24h", text)
}

// printEntry prints one entry of the audit trail with its changed fields.
func printEntry(streams Streams, c domain.Change) {
	printf(streams.Out, "revision %d  %s  %s  edit %s\n", c.Revision, c.At.Format(time.RFC3339), c.Editor, c.EditID)
	printChange(streams, tablefile.RowChange{
		Table: c.Table, Row: c.Row, Before: c.Before, After: c.After,
		Fields: tablefile.DiffJSON(c.Before, c.After),
	})
}
