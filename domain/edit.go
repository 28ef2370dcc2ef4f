package domain

import (
	"encoding/json"
	"time"
)

// TableName is one of the two tables that operators edit.
type TableName string

// The tables.
const (
	TableRoutes TableName = "routes"
	TablePools  TableName = "pools"
)

// Edit is a wanted change of one row.
type Edit struct {
	// ID makes a retry of the edit find its own result.
	ID    string    `json:"id"`
	Table TableName `json:"table"`
	Row   string    `json:"row"`
	// BaseVersion is the row version the editor saw; 0 means that the row must
	// not exist.
	BaseVersion Revision `json:"base_version"`
	// Value is the new row as JSON; empty removes the row.
	Value json.RawMessage `json:"value,omitempty"`
	// Editor is who asked for the change.
	Editor string `json:"editor"`
}

// Change is an accepted edit: one entry of the audit trail.
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

// VersionedRow is a row's value with the revision that wrote it.
type VersionedRow struct {
	Table   TableName       `json:"table"`
	Row     string          `json:"row"`
	Version Revision        `json:"version"`
	Value   json.RawMessage `json:"value"`
}
