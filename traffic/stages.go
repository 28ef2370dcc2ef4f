package traffic

import (
	"context"
	"errors"

	"greengagespoke/domain"
)

// EngineReport is what a model engine says of itself. It is some hundred ms old.
type EngineReport struct {
	Role domain.Role
	// Busy says that an order is being carried out.
	Busy bool
	// Orders is the number of orders that this life of the engine has accepted.
	Orders int64
}

// RoleOrder tells a model engine to change its role.
type RoleOrder struct {
	Role   domain.Role
	Holder domain.HostID
	// Fence is the fencing token of the sender's term.
	Fence int64
	// After is the number of accepted orders after which this one must come, so
	// that one which arrives late is not carried out after newer ones.
	After int64
}

// EngineControl gives orders to model engines. Errors are *CallError.
type EngineControl interface {
	Report(ctx context.Context, up *Upstream) (EngineReport, error)
	Order(ctx context.Context, up *Upstream, order RoleOrder) error
}

// Term is a short time in which one host alone may give orders.
type Term struct {
	// Fence is above that of every earlier term.
	Fence int64
	// Valid reports whether the term still runs. It counts time in which the host
	// was suspended.
	Valid func() bool
}

// ErrTermHeld means that another host has the duty, or had it a short time ago.
var ErrTermHeld = errors.New("the duty is another host's; try again after its term")

// Duty is a task that one host does at a time.
type Duty interface {
	// Take begins a term of this host.
	Take(ctx context.Context) (Term, error)
}
