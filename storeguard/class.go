package storeguard

import "context"

// Class is the kind of work that a write belongs to, and its priority in the
// budget. Lower values go first.
type Class int

// The classes of writes.
const (
	// ClassLeases is for writes that acquire or renew leases, which expire
	// without them.
	ClassLeases Class = iota
	// ClassClaims is for writes before and after calls that run at most once.
	ClassClaims
	// ClassEdits is for changes of the tables and for all other writes.
	ClassEdits

	classCount = int(ClassEdits) + 1
)

// String returns the name of the class.
func (c Class) String() string {
	return [classCount]string{"leases", "claims", "edits"}[c]
}

type classKey struct{}

// WithClass returns a context that assigns the writes made with it to a class.
func WithClass(ctx context.Context, class Class) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

// ClassOf returns the class of the context, or ClassEdits if it has none.
func ClassOf(ctx context.Context) Class {
	if class, ok := ctx.Value(classKey{}).(Class); ok {
		return class
	}
	return ClassEdits
}
