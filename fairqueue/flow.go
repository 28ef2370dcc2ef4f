package fairqueue

import "greengagespoke/domain"

// Entry is one waiting request. The exported fields are set before Push and not
// changed while the entry waits.
type Entry[T any] struct {
	Value  T
	Caller domain.CallerID
	Class  domain.Class
	// Weight is the caller's share; values that are not positive count as 1.
	Weight float64
	// Cost is the service that the entry asks for, in units of the user's choice.
	Cost float64

	flow       *flow[T]
	prev, next *Entry[T]
	// arrival is the virtual time at which the entry was pushed.
	arrival float64
	// position counts the entries pushed to the flow before this one.
	position uint64
	// passed counts the entries of the same class that were served while this
	// one was offered and not taken.
	passed int
}

// Passed returns how many entries of the class were served after this one had
// been offered first and was not taken.
func (e *Entry[T]) Passed() int { return e.passed }

// Waiting returns whether the entry is in a queue.
func (e *Entry[T]) Waiting() bool { return e.flow != nil }

// Previous returns the entry before this one in the backlog of its caller, or nil.
func (e *Entry[T]) Previous() *Entry[T] { return e.prev }

// start returns the start tag of the entry at the head of its flow.
func (e *Entry[T]) start() float64 { return max(e.arrival, e.flow.finish) }

// weight returns the caller's share, which is always positive.
func (e *Entry[T]) weight() float64 {
	if e.Weight > 0 {
		return e.Weight
	}
	return 1
}

// flow is the backlog of one caller in one class, first in, first out.
type flow[T any] struct {
	caller     domain.CallerID
	head, tail *Entry[T]
	length     int
	pushed     uint64
	// finish is the finish tag of the last entry that was served.
	finish float64
	// weight is the flow's part of the total weight while it has backlog.
	weight float64
	// key, seq and index belong to the heap that the flow is in.
	key   float64
	seq   uint64
	index int
}

func (f *flow[T]) append(e *Entry[T]) {
	e.flow = f
	e.position = f.pushed
	f.pushed++
	e.prev = f.tail
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.length++
}

func (f *flow[T]) unlink(e *Entry[T]) {
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.flow = nil, nil, nil
	f.length--
}
