package storeguard

import "context"

// Class is the kind of work that a write belongs to. Classes get the budget in
// the order below.
type Class int

// The classes of writes.
const (
	// ClassLeases writes keep exclusive rights, which lapse without them.
	ClassLeases Class = iota
	// ClassClaims writes stand before and after calls that run at most once.
	ClassClaims
	// ClassEdits writes are changes of the tables, and all others.
	ClassEdits

	classCount = int(ClassEdits) + 1
)

// String returns the name of the class.
func (c Class) String() string {
	return [classCount]string{"leases", "claims", "edits"}[c]
}

type classKey struct{}

// WithClass marks the writes that are made with the context.
func WithClass(ctx context.Context, class Class) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

// ClassOf returns the class of a context; ClassEdits where it has none.
func ClassOf(ctx context.Context) Class {
	if class, ok := ctx.Value(classKey{}).(Class); ok {
		return class
	}
	return ClassEdits
}
