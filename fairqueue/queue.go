// Package fairqueue orders waiting requests so that callers with backlog receive
// service in proportion to their weights. Within a class it is start-time fair
// queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996): an
// entry's start tag is the larger of the virtual time at its arrival and the
// finish tag of the caller's entry before it, and the entry with the smallest
// start tag is served first. The virtual time is that of WF2Q+ (Bennett and
// Zhang, "Hierarchical Packet Fair Queueing Algorithms", SIGCOMM 1996), which
// grows with the service given, so that past service of a caller stops to matter
// even where the queue is never empty. Between the classes, interactive entries
// go first, but patient entries are guaranteed a share of the service.
//
// Push, Remove and Charge take O(log n) for n callers with backlog, and Serve
// O(k log n) for k offers. A caller without backlog is forgotten as soon as its
// past service no longer matters.
package fairqueue

import "greengagespoke/domain"

const (
	// maxOffers bounds the entries of one class that a Serve call offers.
	maxOffers = 64
	// DefaultPatientShare is the part of the service that patient entries
	// receive at least while they wait.
	DefaultPatientShare = 0.15
)

// Verdict is the answer to the offer of an entry.
type Verdict int

// The answers to an offer.
const (
	// Accept takes the entry out of the queue.
	Accept Verdict = iota
	// NoRoom leaves the entry where it is, and with it the later entries of its
	// caller; the next caller is offered.
	NoRoom
	// NotReady leaves the entry where it is; the next entry of its caller is
	// offered.
	NotReady
)

// Queue holds the waiting entries of both classes. It is not safe for
// concurrent use.
type Queue[T any] struct {
	interactive, patient *classQueue[T]
	patientShare         float64
	// credit is service that is due to patient entries because interactive ones
	// went first.
	credit float64
}

// New returns an empty queue in which waiting patient entries receive at least
// the given share, between 0 and 1, of the service.
func New[T any](patientShare float64) *Queue[T] {
	return &Queue[T]{
		interactive:  newClassQueue[T](),
		patient:      newClassQueue[T](),
		patientShare: min(max(patientShare, 0), 0.99),
	}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.interactive.length + q.patient.length }

// Waiting returns the number of waiting entries of a caller.
func (q *Queue[T]) Waiting(caller domain.CallerID) int {
	return q.interactive.waiting(caller) + q.patient.waiting(caller)
}

// Callers returns the number of callers that the queue holds memory for, per
// class.
func (q *Queue[T]) Callers() int {
	return len(q.interactive.flows) + len(q.patient.flows)
}

// Push adds an entry at the end of its caller's backlog.
func (q *Queue[T]) Push(e *Entry[T]) { q.class(e.Class).push(e) }

// Remove takes an entry out without service. It does nothing for entries that
// do not wait.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.flow == nil {
		return
	}
	q.class(e.Class).remove(e)
}

// Serve offers entries in fair order until try accepts one. The accepted entry
// is removed, charged to its caller and returned; nil means that no offered
// entry was accepted.
func (q *Queue[T]) Serve(try func(*Entry[T]) Verdict) *Entry[T] {
	if q.patientDue() {
		if e := q.patient.serve(try); e != nil {
			q.credit = max(0, q.credit-e.Cost)
			return e
		}
		return q.serveInteractive(try)
	}
	if e := q.serveInteractive(try); e != nil {
		return e
	}
	return q.patient.serve(try)
}

// Charge adds to the service that a caller has received, when an entry turned
// out to cost more than it was charged, or takes from it with a negative cost.
func (q *Queue[T]) Charge(caller domain.CallerID, class domain.Class, weight, cost float64) {
	if weight > 0 {
		cost /= weight
	}
	q.class(class).charge(caller, cost)
}

func (q *Queue[T]) serveInteractive(try func(*Entry[T]) Verdict) *Entry[T] {
	e := q.interactive.serve(try)
	if e == nil {
		return nil
	}
	if q.patient.length == 0 {
		q.credit = 0
		return e
	}
	q.credit += e.Cost * q.patientShare / (1 - q.patientShare)
	return e
}

// patientDue returns whether the credit covers the next patient entry.
func (q *Queue[T]) patientDue() bool {
	f := q.patient.active.min()
	return f != nil && q.credit >= f.head.Cost
}

func (q *Queue[T]) class(class domain.Class) *classQueue[T] {
	if class == domain.ClassPatient {
		return q.patient
	}
	return q.interactive
}

// Ahead estimates how many waiting entries are served before an entry, if each
// caller with backlog is served in turn.
func (q *Queue[T]) Ahead(e *Entry[T]) int {
	if e.flow == nil {
		return 0
	}
	c := q.class(e.Class)
	own := int(e.position - e.flow.head.position)
	turns := c.active.len()*(own+1) - 1
	ahead := min(turns, c.length-1)
	if e.Class == domain.ClassPatient {
		ahead += q.interactive.length
	}
	return ahead
}
