package ports

import (
	"context"
	"errors"
	"time"
)

// ErrRelayStale means that a host cannot relay a table, as it has not read it
// itself lately.
var ErrRelayStale = errors.New("the host has no recent copy of the table; ask another host or the store")

// RelayRequest asks a host for a table of the platform's store.
type RelayRequest struct {
	Table string
	// All asks for all rows, else for the changes after the version After.
	All   bool
	After int64
	// Wait is how long to wait for changes.
	Wait time.Duration
}

// RelayedRow is a row of the store.
type RelayedRow struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// RelayPage is a host's copy of a table, or the changes of it.
type RelayPage struct {
	Rows []RelayedRow
	// Version is the version to go on from.
	Version int64
	// Gone says that the host no longer has the changes that were asked for.
	Gone bool
	// Age is the time since the host last heard from the store.
	Age time.Duration
	// SinceOutage is the time since the host regained the store, 0 where it never
	// lost it.
	SinceOutage time.Duration
}

// Relay hands on tables of the store, so that not every host reads them there.
type Relay interface {
	Read(ctx context.Context, req RelayRequest) (RelayPage, error)
}
