package fairqueue

import "greengagespoke/domain"

// Entry is one waiting request. The exported fields must be set before Push and
// must not change while the entry waits.
type Entry[T any] struct {
	Value  T
	Caller domain.CallerID
	Class  domain.Class
	// Weight is the caller's relative share of the service. Values that are not
	// positive count as 1.
	Weight float64
	// Cost is the expected service of the entry, in any unit that is the same for
	// all entries of a queue.
	Cost float64

	flow       *flow[T]
	prev, next *Entry[T]
	// arrival is the virtual time at which the entry was pushed.
	arrival float64
	// position counts the entries pushed to the flow before this one.
	position uint64
	// passed counts the Serve calls that skipped the flow while this entry was at its
	// head, and served an entry of another flow of the class.
	passed int
}

// Passed returns how many entries of other callers in the class were served after
// this entry had been offered first, at the head of its caller's backlog, and was
// not accepted.
func (e *Entry[T]) Passed() int { return e.passed }

// Waiting reports whether the entry is in a queue.
func (e *Entry[T]) Waiting() bool { return e.flow != nil }

// Previous returns the entry before this one in the backlog of its caller, or nil.
func (e *Entry[T]) Previous() *Entry[T] { return e.prev }

// startTag returns the start tag of the entry if it is the next of its flow to be
// served.
func (e *Entry[T]) startTag() float64 { return max(e.arrival, e.flow.finishTag) }

// effectiveWeight returns the weight of the entry, or 1 if it is not positive.
func (e *Entry[T]) effectiveWeight() float64 {
	if e.Weight > 0 {
		return e.Weight
	}
	return 1
}

// flow is the state of one caller in one class: its backlog, first in, first out,
// and the tags that determine its turn.
type flow[T any] struct {
	caller     domain.CallerID
	head, tail *Entry[T]
	length     int
	// pushCount is the number of entries pushed to the flow so far.
	pushCount uint64
	// finishTag is the finish tag of the last entry that was served, as corrected by
	// Charge.
	finishTag float64
	// weight is the flow's part of classQueue.totalWeight, and 0 without backlog.
	weight float64
	// key and seq order the flow in its heap, index is its position there or -1.
	key   float64
	seq   uint64
	index int
}

func (f *flow[T]) append(e *Entry[T]) {
	e.flow = f
	e.position = f.pushCount
	f.pushCount++
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
