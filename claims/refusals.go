package claims

import (
	"errors"
	"fmt"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// storeRetryAfter is the retry delay sent to callers after a store failure.
	storeRetryAfter = 2 * time.Second
	// openClaimRetryAfter is the retry delay sent to callers while the claim is
	// open, after which the outcome may be available.
	openClaimRetryAfter = 5 * time.Second
)

const remedyOutcomeUnknown = "send it again later with the same key and a higher attempt number; if the outcome stays unknown, look at the service itself before using another key"

// canceledWhileClaiming is the refusal of a call whose caller disconnected while
// the claim was being acquired. An earlier attempt may have run.
func canceledWhileClaiming(call Call, rowExists bool) *domain.Refusal {
	refusal := canceled()
	if rowExists || call.Attempt > 1 {
		refusal.Ran = domain.RanUnknown
	}
	return refusal
}

func canceled() *domain.Refusal {
	return domain.Refuse(domain.RefusalCanceled, "the caller ended the request before it was sent", "send it again if it is still wanted")
}

// storeUnavailable is the refusal of a call whose claim could not be confirmed
// because the table service failed. An earlier attempt may have run if a claim
// row is known to exist or if the call's attempt number is above 1.
func (c *Claimer) storeUnavailable(call Call, rowExists bool, err error) *domain.Refusal {
	c.count.storeFailed.Add(1)
	refusal := domain.Refuse(domain.RefusalStoreDown, "the table service, which keeps calls from running twice, gave no answer", "send it again with the same key").WithRetryAfter(storeRetryAfter)
	if errors.Is(err, ports.ErrStoreThrottled) {
		refusal = domain.Refuse(domain.RefusalOverloaded, "the rate limit of the table service is used up", "send it again with the same key, more slowly").WithRetryAfter(storeRetryAfter)
	}
	if rowExists || call.Attempt > 1 {
		refusal.Ran = domain.RanUnknown
		refusal.Remedy = remedyOutcomeUnknown
	}
	return refusal
}

func keyReused(call Call, row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalDuplicate,
		fmt.Sprintf("key %q was used at %s for a call with other content; this content did not run", call.Key, row.At.Format(time.RFC3339)),
		"use a new key for each call")
}

func superseded(call Call, row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalSuperseded,
		fmt.Sprintf("attempt %d comes after attempt %d, which was not sent to an upstream", call.Attempt, row.Attempt),
		fmt.Sprintf("send it again with the same key and an attempt number above %d", row.Attempt))
}

func outcomeUnknown(row claimRow) *domain.Refusal {
	return domain.Refuse(domain.RefusalDuplicate,
		fmt.Sprintf("a sending of the call was begun at %s by host %s and has no outcome", row.At.Format(time.RFC3339), row.Host),
		remedyOutcomeUnknown).WithRan(domain.RanUnknown).WithRetryAfter(openClaimRetryAfter)
}

func outcomeUnreadable(err error) *domain.Refusal {
	return domain.Refuse(domain.RefusalStoreDown,
		fmt.Sprintf("the call ran, but its outcome cannot be read: %v", err),
		"ask again later with the same key").WithRan(domain.RanYes).WithRetryAfter(storeRetryAfter)
}

// notDelivered is the refusal of a call that was claimed but certainly not sent.
func notDelivered(err error) *domain.Refusal {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, fmt.Sprintf("no upstream could be reached: %v", err), "send it again with the same key and a higher attempt number").WithRetryAfter(storeRetryAfter)
}

// interrupted is the refusal of a call that failed after some of it may have been
// sent.
func interrupted(err error) *domain.Refusal {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalUpstreamFailed, fmt.Sprintf("the call broke on its way: %v", err), remedyOutcomeUnknown).WithRan(domain.RanUnknown)
}
