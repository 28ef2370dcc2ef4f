package domain

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a refused request was executed by an upstream.
type Ran string

// The values of Ran.
const (
	// RanNo means that nothing that could start the work left the entry host.
	RanNo Ran = "no"
	// RanYes means that the work ran, though its answer could not be delivered.
	RanYes Ran = "yes"
	// RanUnknown means that the work may or may not have run.
	RanUnknown Ran = "unknown"
)

// RefusalKind classifies refusals. Each kind maps to one HTTP status code.
type RefusalKind string

// The kinds of refusal.
const (
	RefusalBadRequest      RefusalKind = "bad_request"
	RefusalUnauthenticated RefusalKind = "unauthenticated"
	RefusalNotFound        RefusalKind = "not_found"
	RefusalNoRoute         RefusalKind = "no_route"
	RefusalOverloaded      RefusalKind = "overloaded"
	RefusalLate            RefusalKind = "late"
	RefusalQueueFull       RefusalKind = "queue_full"
	RefusalNoUpstream      RefusalKind = "no_upstream"
	RefusalLeaving         RefusalKind = "leaving"
	RefusalQuarantined     RefusalKind = "quarantined"
	RefusalStoreDown       RefusalKind = "store_down"
	RefusalDuplicate       RefusalKind = "duplicate"
	RefusalSuperseded      RefusalKind = "superseded"
	RefusalDeadline        RefusalKind = "deadline"
	RefusalUpstreamFailed  RefusalKind = "upstream_failed"
	RefusalTooLarge        RefusalKind = "too_large"
	RefusalCanceled        RefusalKind = "canceled"
	RefusalInternal        RefusalKind = "internal"
)

// Refusal is the typed error that a caller receives when a request has no answer.
type Refusal struct {
	Kind RefusalKind `json:"kind"`
	// Message says what happened.
	Message string `json:"message"`
	// Remedy says what the caller or the operator can do about it.
	Remedy string `json:"remedy"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is when a new try makes sense; zero means no advice.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Refuse returns a refusal of a request that did not run.
func Refuse(kind RefusalKind, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Remedy: remedy, Ran: RanNo}
}

// After sets the time after which a retry makes sense and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRan sets whether the request ran and returns the refusal.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Error implements error. The message names the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s); %s", r.Kind, r.Message, r.Ran, r.Remedy)
}

// AsRefusal returns the refusal in the chain of err, if there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
