package domain

import (
	"encoding/json"
	"time"
)

// TableName names one of the two configuration tables that operators edit.
type TableName string

// The configuration tables.
const (
	TableRoutes TableName = "routes"
	TablePools  TableName = "pools"
)

// Edit is a requested change to one row of a table.
type Edit struct {
	// ID is the idempotency key of the edit: a retry with the same ID gets the
	// result of the edit that was already accepted.
	ID    string    `json:"id"`
	Table TableName `json:"table"`
	Row   string    `json:"row"`
	// BaseVersion is the row version that the edit was based on; 0 means that
	// the row must not exist.
	BaseVersion Revision `json:"base_version"`
	// Value is the new row as JSON; empty deletes the row.
	Value json.RawMessage `json:"value,omitempty"`
	// Editor identifies who requested the change.
	Editor string `json:"editor"`
}

// Change is an accepted edit. The sequence of changes is the audit trail.
type Change struct {
	Revision Revision        `json:"revision"`
	EditID   string          `json:"edit_id"`
	Table    TableName       `json:"table"`
	Row      string          `json:"row"`
	Editor   string          `json:"editor"`
	At       time.Time       `json:"at"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
}

// VersionedRow is a table row with the revision that last wrote it.
type VersionedRow struct {
	Table   TableName       `json:"table"`
	Row     string          `json:"row"`
	Version Revision        `json:"version"`
	Value   json.RawMessage `json:"value"`
}
