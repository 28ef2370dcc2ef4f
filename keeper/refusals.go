package keeper

import (
	"fmt"
	"time"

	"greengagespoke/domain"
)

func refuseSuperseded() *domain.Refusal {
	return domain.Refuse(domain.RefusalSuperseded,
		"a newer attempt at the request replaced this one",
		"read the answer from the newer attempt").WithRan(domain.RanUnknown)
}

func refuseDuplicate() *domain.Refusal {
	return domain.Refuse(domain.RefusalDuplicate,
		"the same attempt is in progress on another host",
		"send the request with a higher attempt number").WithRan(domain.RanUnknown)
}

func refuseQueueFull(limit int, wait time.Duration) *domain.Refusal {
	return domain.Refuse(domain.RefusalQueueFull,
		fmt.Sprintf("the caller already has %d requests waiting", limit),
		"wait for an answer before sending more").WithRetryAfter(wait)
}

func refuseLate(wait time.Duration) *domain.Refusal {
	return domain.Refuse(domain.RefusalLate,
		"the time-to-first-token target cannot be met",
		"retry after the stated time").WithRetryAfter(wait)
}

func refuseNoUpstream() *domain.Refusal {
	return domain.Refuse(domain.RefusalNoUpstream,
		"the group has no prefill or no decode upstream that the request may use",
		"use another group, or add upstreams of both roles to the pool's row")
}

func refuseTooLarge(needed, largest int) *domain.Refusal {
	return domain.Refuse(domain.RefusalTooLarge,
		fmt.Sprintf("the request needs %d pieces of memory, the largest decode upstream has %d", needed, largest),
		"shorten the prompt or ask for fewer tokens")
}

func refuseWithdrawn() *domain.Refusal {
	return domain.Refuse(domain.RefusalCanceled,
		"the place request was withdrawn",
		"send the request again if the answer is still wanted")
}
