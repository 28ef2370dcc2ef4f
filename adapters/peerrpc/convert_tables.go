package peerrpc

import (
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

func changeToPB(c domain.Change) *peerpb.Change {
	return &peerpb.Change{
		Revision: int64(c.Revision),
		EditId:   c.EditID,
		Table:    string(c.Table),
		Row:      c.Row,
		Editor:   c.Editor,
		AtUnixNs: c.At.UnixNano(),
		Before:   c.Before,
		After:    c.After,
	}
}

func changeFromPB(c *peerpb.Change) domain.Change {
	return domain.Change{
		Revision: domain.Revision(c.GetRevision()),
		EditID:   c.GetEditId(),
		Table:    domain.TableName(c.GetTable()),
		Row:      c.GetRow(),
		Editor:   c.GetEditor(),
		At:       time.Unix(0, c.GetAtUnixNs()).UTC(),
		Before:   c.GetBefore(),
		After:    c.GetAfter(),
	}
}

func rowToPB(r domain.VersionedRow) *peerpb.Row {
	return &peerpb.Row{
		Table:   string(r.Table),
		Row:     r.Row,
		Version: int64(r.Version),
		Value:   r.Value,
	}
}

func rowFromPB(r *peerpb.Row) domain.VersionedRow {
	return domain.VersionedRow{
		Table:   domain.TableName(r.GetTable()),
		Row:     r.GetRow(),
		Version: domain.Revision(r.GetVersion()),
		Value:   r.GetValue(),
	}
}

func snapshotToPB(s ports.TableSnapshot) *peerpb.SnapshotResponse {
	return &peerpb.SnapshotResponse{
		Revision: int64(s.Revision),
		Rows:     mapSlice(s.Rows, rowToPB),
	}
}

func snapshotFromPB(s *peerpb.SnapshotResponse) ports.TableSnapshot {
	return ports.TableSnapshot{
		Revision: domain.Revision(s.GetRevision()),
		Rows:     mapSlice(s.GetRows(), rowFromPB),
	}
}
