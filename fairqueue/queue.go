// Package fairqueue orders waiting requests so that callers with backlog receive
// service in proportion to their weights. Within a class it implements start-time
// fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996):
// an entry's start tag is the larger of the virtual time at its arrival and the
// finish tag of the caller's previous entry, and the entry with the smallest start
// tag is served first. The virtual time is that of WF2Q+ (Bennett and Zhang,
// "Hierarchical Packet Fair Queueing Algorithms", SIGCOMM 1996). It advances with
// the service given, so that past service of a caller stops counting against it
// even if the queue is never empty. Interactive entries take precedence over
// patient entries, but patient entries are guaranteed a share of the service.
//
// Push, Remove and Charge take O(log n) for n callers with backlog, and Serve
// O(k log n) for k offers. The state of a caller without backlog is dropped as
// soon as its past service no longer affects the order.
package fairqueue

import "greengagespoke/domain"

const (
	// maxOffersPerClass bounds the entries of one class that a Serve call offers to
	// its callback.
	maxOffersPerClass = 64
	// DefaultPatientShare is the minimum fraction of the service that patient
	// entries receive while any of them waits.
	DefaultPatientShare = 0.15
)

// Verdict is a Serve callback's decision on an offered entry.
type Verdict int

// The decisions on an offered entry.
const (
	// Accept removes the entry from the queue to be served.
	Accept Verdict = iota
	// NoRoom keeps the entry in the queue and skips the later entries of its
	// caller. Serve goes on with the next caller.
	NoRoom
	// NotReady keeps the entry in the queue. Serve goes on with the next entry of
	// the same caller.
	NotReady
)

// Queue holds the waiting entries of both classes. It is not safe for
// concurrent use.
type Queue[T any] struct {
	interactive, patient *classQueue[T]
	patientShare         float64
	// patientCredit is the service, in units of cost, that is owed to patient
	// entries because interactive entries were served while patient ones waited.
	patientCredit float64
}

// New returns an empty queue in which patient entries receive at least the
// fraction patientShare of the service while any of them waits. The share is
// clamped to the range from 0 to 0.99.
func New[T any](patientShare float64) *Queue[T] {
	return &Queue[T]{
		interactive:  newClassQueue[T](),
		patient:      newClassQueue[T](),
		patientShare: min(max(patientShare, 0), 0.99),
	}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.interactive.length + q.patient.length }

// Waiting returns the number of waiting entries of a caller in both classes.
func (q *Queue[T]) Waiting(caller domain.CallerID) int {
	return q.interactive.lengthOf(caller) + q.patient.lengthOf(caller)
}

// FlowCount returns the number of flows held in memory. A flow is the state of one
// caller in one class, so that a caller counts once per class.
func (q *Queue[T]) FlowCount() int {
	return len(q.interactive.flows) + len(q.patient.flows)
}

// Push adds an entry at the end of its caller's backlog.
func (q *Queue[T]) Push(e *Entry[T]) { q.classQueueFor(e.Class).push(e) }

// Remove removes an entry without serving it. It does nothing if the entry does
// not wait in a queue.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.flow == nil {
		return
	}
	q.classQueueFor(e.Class).remove(e)
}

// Serve calls try for entries in fair order until it accepts one. The accepted
// entry is removed, its cost is charged to its caller, and it is returned. Serve
// returns nil if no offered entry was accepted.
func (q *Queue[T]) Serve(try func(*Entry[T]) Verdict) *Entry[T] {
	if q.patientDue() {
		if e := q.patient.serve(try); e != nil {
			q.patientCredit = max(0, q.patientCredit-e.Cost)
			return e
		}
		return q.serveInteractive(try)
	}
	if e := q.serveInteractive(try); e != nil {
		return e
	}
	return q.patient.serve(try)
}

// Charge corrects the service charged to a caller when an entry turned out to
// cost more than was charged for it, or less if cost is negative. The weight is
// that of the entry. Charge does nothing if the queue no longer holds state for
// the caller in the class.
func (q *Queue[T]) Charge(caller domain.CallerID, class domain.Class, weight, cost float64) {
	if weight > 0 {
		cost /= weight
	}
	q.classQueueFor(class).charge(caller, cost)
}

func (q *Queue[T]) serveInteractive(try func(*Entry[T]) Verdict) *Entry[T] {
	e := q.interactive.serve(try)
	if e == nil {
		return nil
	}
	if q.patient.length == 0 {
		q.patientCredit = 0
		return e
	}
	q.patientCredit += e.Cost * q.patientShare / (1 - q.patientShare)
	return e
}

// patientDue reports whether patientCredit covers the next patient entry.
func (q *Queue[T]) patientDue() bool {
	f := q.patient.active.min()
	return f != nil && q.patientCredit >= f.head.Cost
}

func (q *Queue[T]) classQueueFor(class domain.Class) *classQueue[T] {
	if class == domain.ClassPatient {
		return q.patient
	}
	return q.interactive
}

// Ahead estimates how many waiting entries are served before e, assuming that the
// callers with backlog in its class are served round-robin and that all waiting
// interactive entries precede a patient one. It returns 0 if e does not wait.
func (q *Queue[T]) Ahead(e *Entry[T]) int {
	if e.flow == nil {
		return 0
	}
	c := q.classQueueFor(e.Class)
	own := int(e.position - e.flow.head.position)
	turns := c.active.len()*(own+1) - 1
	ahead := min(turns, c.length-1)
	if e.Class == domain.ClassPatient {
		ahead += q.interactive.length
	}
	return ahead
}
