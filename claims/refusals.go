package claims

import (
	"errors"
	"fmt"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// retryStore is when a call makes sense again after a store failure.
	retryStore = 2 * time.Second
	// retryOpen is when the outcome of an open claim may be there.
	retryOpen = 5 * time.Second
)

const remedyLookUp = "send it again later with the same key and a higher attempt number; if the outcome stays unknown, look at the service itself before using another key"

// canceledBefore is the refusal of a call whose caller went while it was claimed.
func canceledBefore(call Call, exists bool) *domain.Refusal {
	refusal := canceled()
	if exists || call.Attempt > 1 {
		refusal.Ran = domain.RanUnknown
	}
	return refusal
}

func canceled() *domain.Refusal {
	return domain.Refuse(domain.RefusalCanceled, "the caller ended the request before it was sent", "send it again if it is still wanted")
}

// unavailable is the refusal of a call whose claim could not be made sure. An
// earlier sending may have run if a claim row is known to exist, or if the
// caller says that there was one.
func (c *Claimer) unavailable(call Call, exists bool, err error) *domain.Refusal {
	c.count.storeFailed.Add(1)
	refusal := domain.Refuse(domain.RefusalStoreDown, "the table service, which keeps calls from running twice, gave no answer", "send it again with the same key").WithRetryAfter(retryStore)
	if errors.Is(err, ports.ErrStoreThrottled) {
		refusal = domain.Refuse(domain.RefusalOverloaded, "the rate limit of the table service is used up", "send it again with the same key, more slowly").WithRetryAfter(retryStore)
	}
	if exists || call.Attempt > 1 {
		refusal.Ran = domain.RanUnknown
		refusal.Remedy = remedyLookUp
	}
	return refusal
}

func otherContent(call Call, row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalDuplicate,
		fmt.Sprintf("key %q was used at %s for a call with other content; this content did not run", call.Key, row.At.Format(time.RFC3339)),
		"use a new key for each call")
}

func superseded(call Call, row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalSuperseded,
		fmt.Sprintf("attempt %d comes after attempt %d, which was not sent to an upstream", call.Attempt, row.Attempt),
		fmt.Sprintf("send it again with the same key and an attempt number above %d", row.Attempt))
}

func withoutOutcome(row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalDuplicate,
		fmt.Sprintf("a sending of the call was begun at %s by host %s and has no outcome", row.At.Format(time.RFC3339), row.Host),
		remedyLookUp).WithRan(domain.RanUnknown).WithRetryAfter(retryOpen)
}

func outcomeUnreadable(err error) *domain.Refusal {
	return domain.Refuse(domain.RefusalStoreDown,
		fmt.Sprintf("the call ran, but its outcome cannot be read: %v", err),
		"ask again later with the same key").WithRan(domain.RanYes).WithRetryAfter(retryStore)
}

// unsent is the refusal of a call that was claimed and certainly not sent.
func unsent(err error) *domain.Refusal {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, fmt.Sprintf("no upstream could be reached: %v", err), "send it again with the same key and a higher attempt number").WithRetryAfter(retryStore)
}

// broken is the refusal of a call that broke after it may have left the host.
func broken(err error) *domain.Refusal {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, fmt.Sprintf("the call broke on its way: %v", err), remedyLookUp).WithRan(domain.RanUnknown)
}
