package ports

import (
	"context"
	"errors"
	"time"
)

// ErrRelayStale means that a host cannot relay a table because it has not recently
// read the table from the store itself.
var ErrRelayStale = errors.New("the host has no recent copy of the table; ask another host or the store")

// RelayRequest asks a host for its copy of a table of the platform's store.
type RelayRequest struct {
	Table string
	// All requests all rows; otherwise the request is for the changes after the
	// version After.
	All   bool
	After int64
	// Wait is the maximum time to wait for changes (long poll).
	Wait time.Duration
}

// RelayedRow is a row of the store, or the deletion of a row.
type RelayedRow struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// RelayPage is a host's copy of a table or a range of changes to it.
type RelayPage struct {
	Rows []RelayedRow
	// Version is the version from which the next request continues.
	Version int64
	// HistoryTruncated reports that the host has discarded the requested changes.
	HistoryTruncated bool
	// Age is the time since the host last got a response from the store.
	Age time.Duration
	// SinceOutage is the time since the host reached the store again after an
	// outage, or 0 if there was no outage.
	SinceOutage time.Duration
}

// Relay serves tables of the store to other hosts, so that not every host has to
// read the store.
type Relay interface {
	Read(ctx context.Context, req RelayRequest) (RelayPage, error)
}
