package tables

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"greengagespoke/domain"
)

// ConflictError means that the row changed after the editor read it.
type ConflictError struct {
	Table domain.TableName
	Row   string
	// Base is the version that the edit is based on and Current the version in
	// the store; 0 means that there was or is no row.
	Base    domain.Revision
	Current domain.Revision
	// Wanted is the rejected value and Found the current value.
	Wanted json.RawMessage
	Found  json.RawMessage
	// By is the editor who made the current change and At its time.
	By string
	At time.Time
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s/%s: the edit is based on version %d, but version %d by %q is in force; read the row again and repeat the edit on it",
		e.Table, e.Row, e.Base, e.Current, e.By)
}

// InvalidRowError means that a row or the edit of a row is invalid.
type InvalidRowError struct {
	Table domain.TableName
	Row   string
	// Field is the path of the invalid field, such as "upstreams[2].zone".
	Field string
	// Message describes the problem and Remedy how to correct it.
	Message string
	Remedy  string
}

// Error implements error.
func (e *InvalidRowError) Error() string {
	return fmt.Sprintf("%s/%s: %s: %s; %s", e.Table, e.Row, e.Field, e.Message, e.Remedy)
}

// InUseError means that a pool cannot be removed because routes use it.
type InUseError struct {
	Pool   domain.PoolName
	Routes []domain.RouteName
}

// Error implements error.
func (e *InUseError) Error() string {
	names := make([]string, len(e.Routes))
	for i, name := range e.Routes {
		names[i] = string(name)
	}
	return fmt.Sprintf("pool %q is used by routes %s; remove or change these routes first", e.Pool, strings.Join(names, ", "))
}

// UnknownPoolError means that a route names a pool that does not exist.
type UnknownPoolError struct {
	Route domain.RouteName
	Pool  domain.PoolName
}

// Error implements error.
func (e *UnknownPoolError) Error() string {
	return fmt.Sprintf("route %q names pool %q, which does not exist; create the pool first or correct the name", e.Route, e.Pool)
}

// EditIDError means that an edit identifier was already used for another edit.
type EditIDError struct {
	ID string
	// Change is the change made under the identifier.
	Change domain.Change
}

// Error implements error.
func (e *EditIDError) Error() string {
	return fmt.Sprintf("edit id %q already stands for revision %d of %s/%s; choose a new edit id", e.ID, e.Change.Revision, e.Change.Table, e.Change.Row)
}

// ErrUnreadableHead means that the head row of the tables is not in the format
// that this version writes.
var ErrUnreadableHead = errors.New("the row tables/head is unreadable; run the version that wrote it, or restore the row")

// errInconsistent means that rows and head were read at different revisions.
var errInconsistent = errors.New("the tables changed while they were read; try again")
