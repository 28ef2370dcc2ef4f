package traffic

import (
	"context"
	"errors"

	"greengagespoke/domain"
)

// EngineReport is the state that a model engine reports. It may be some hundred
// milliseconds stale.
type EngineReport struct {
	Role domain.Role
	// Busy means that the engine is carrying out an order.
	Busy bool
	// Orders is the number of orders that the engine has accepted since its process
	// started.
	Orders int64
}

// RoleOrder orders a model engine to change its role.
type RoleOrder struct {
	Role domain.Role
	// Holder is the host that sends the order.
	Holder domain.HostID
	// Fence is the fencing token of the sender's lease term.
	Fence int64
	// After is the number of orders that the engine must have accepted before this
	// one, so that a delayed order is not carried out after newer ones.
	After int64
}

// EngineControl sends orders to model engines. Errors are *CallError.
type EngineControl interface {
	Report(ctx context.Context, up *Upstream) (EngineReport, error)
	Order(ctx context.Context, up *Upstream, order RoleOrder) error
}

// Term is a lease term, during which only one host may send orders.
type Term struct {
	// Fence is the fencing token. It is higher than that of every earlier term.
	Fence int64
	// Valid reports whether the term has not expired. Time during which the host was
	// suspended counts as elapsed.
	Valid func() bool
}

// ErrTermHeld means that another host holds the lease, or held it a short time ago.
var ErrTermHeld = errors.New("the lease is held by another host; retry after its term")

// Duty is the lease of a task that only one host may perform at a time.
type Duty interface {
	// Acquire acquires the lease for this host and starts a term. It returns ErrTermHeld
	// if another host holds the lease.
	Acquire(ctx context.Context) (Term, error)
}
