package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"

	"greengagespoke/adapters/tablefile"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/tables"
)

// changeSet applies a list of row changes with one edit per row.
type changeSet struct {
	editor   *tables.Editor
	flags    editFlags
	notifier *notifier
	streams  Streams
	// read is the revision at which the operator read the rows, or 0 if it is not
	// known.
	read domain.Revision
	// locate adds file and line to an error; nil leaves errors as they are.
	locate func(error) error
}

// make prints and applies the changes. It returns the last revision, or that of the
// snapshot if there is nothing to change.
func (s *changeSet) make(ctx context.Context, snapshot ports.TableSnapshot, changes []tablefile.RowChange) (domain.Revision, error) {
	if len(changes) == 0 {
		printf(s.streams.Out, "nothing to change at revision %d\n", snapshot.Revision)
		return snapshot.Revision, nil
	}
	for _, c := range changes {
		if err := s.checkRead(ctx, c); err != nil {
			return 0, s.explain(err)
		}
	}
	// Checks the whole list first, so that an invalid change is found before any
	// row is changed.
	if err := dryRun(ctx, snapshot, changes); err != nil {
		return 0, s.explain(err)
	}
	if s.flags.dryRun {
		s.printDryRun(snapshot, changes)
		return snapshot.Revision, nil
	}
	return s.apply(ctx, snapshot.Revision, changes)
}

// apply applies the changes one by one, starting at a revision.
func (s *changeSet) apply(ctx context.Context, revision domain.Revision, changes []tablefile.RowChange) (domain.Revision, error) {
	id := s.flags.editID
	if id == "" {
		id = rand.Text()
	}
	for i, c := range changes {
		accepted, err := s.editor.Apply(ctx, domain.Edit{
			ID:          fmt.Sprintf("%s.%s.%s", id, c.Table, c.Row),
			Table:       c.Table,
			Row:         c.Row,
			BaseVersion: c.Version,
			Value:       c.After,
			Editor:      s.flags.editor,
		})
		if err != nil && i > 0 {
			s.notifier.report(s.streams)
		}
		if err != nil {
			return revision, s.addProgress(i, len(changes), id, s.explain(err))
		}
		s.notifier.announceEdit(ctx, s.editor, accepted)
		revision = accepted.Revision
		printChange(s.streams, c)
		printf(s.streams.Out, "accepted as revision %d\n", revision)
	}
	s.notifier.report(s.streams)
	return revision, nil
}

// checkRead returns a conflict if the row has changed since the operator read it.
func (s *changeSet) checkRead(ctx context.Context, c tablefile.RowChange) error {
	if s.read == 0 || (c.Version > 0 && c.Version <= s.read) {
		return nil
	}
	later, err := s.editor.History(ctx, tables.HistoryFilter{Table: c.Table, Row: c.Row, After: s.read, Limit: 1})
	if err != nil || len(later) == 0 {
		return err
	}
	return &tables.ConflictError{
		Table: c.Table, Row: c.Row,
		Base: s.read, Current: later[0].Revision,
		Wanted: c.After, Found: c.Before,
		By: later[0].Editor, At: later[0].At,
	}
}

// explain prints both values of a conflict, and adds file and line to an error if
// they are known.
func (s *changeSet) explain(err error) error {
	if err != nil && s.locate != nil {
		err = s.locate(err)
	}
	var conflict *tables.ConflictError
	if errors.As(err, &conflict) {
		printf(s.streams.Err, "%s/%s: - in force, + wanted\n", conflict.Table, conflict.Row)
		printFields(s.streams.Err, tablefile.DiffJSON(conflict.Found, conflict.Wanted))
	}
	return err
}

// addProgress adds the number of applied changes to an error.
func (s *changeSet) addProgress(done, all int, id string, err error) error {
	if all == 1 {
		return fmt.Errorf("%w (edit id %s)", err, id)
	}
	return fmt.Errorf("%w (%d of %d rows were changed; edit id %s)", err, done, all, id)
}

func (s *changeSet) printDryRun(snapshot ports.TableSnapshot, changes []tablefile.RowChange) {
	for _, c := range changes {
		printChange(s.streams, c)
	}
	printf(s.streams.Out, "dry run at revision %d: %d rows would change\n", snapshot.Revision, len(changes))
}

// printChange prints the change of one row, with one line per field.
func printChange(streams Streams, c tablefile.RowChange) {
	verb := "change"
	switch {
	case len(c.Before) == 0:
		verb = "add"
	case len(c.After) == 0:
		verb = "remove"
	}
	printf(streams.Out, "%s %s/%s\n", verb, c.Table, c.Row)
	printFields(streams.Out, c.Fields)
}

func printFields(w io.Writer, fields []tablefile.FieldChange) {
	for _, f := range fields {
		if f.Before != "" {
			printf(w, "  - %s: %s\n", f.Path, f.Before)
		}
		if f.After != "" {
			printf(w, "  + %s: %s\n", f.Path, f.After)
		}
	}
}
