package domain

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a refused request was executed by an upstream.
type Ran string

// The values of Ran.
const (
	// RanNo means that the entry host sent nothing that could have started the
	// work.
	RanNo Ran = "no"
	// RanYes means that the work ran but its response could not be delivered.
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
	RefusalOverQuota       RefusalKind = "over_quota"
	RefusalQuotaUnknown    RefusalKind = "quota_unknown"
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
	RefusalCutOff          RefusalKind = "cut_off"
	RefusalNotResumable    RefusalKind = "not_resumable"
	RefusalNoMemory        RefusalKind = "no_memory"
)

// Refusal is the typed error that a caller receives instead of a response.
type Refusal struct {
	Kind RefusalKind `json:"kind"`
	// Message describes what happened.
	Message string `json:"message"`
	// Remedy describes what the caller or the operator can do about it.
	Remedy string `json:"remedy"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is the suggested delay before a retry; zero means no suggestion.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Refuse returns a refusal for a request that was not executed (RanNo).
func Refuse(kind RefusalKind, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter sets RetryAfter and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRan sets Ran and returns the refusal.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Error implements error. The text includes the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s); %s", r.Kind, r.Message, r.Ran, r.Remedy)
}

// AsRefusal returns the first refusal in the error chain of err, if any.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
