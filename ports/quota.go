package ports

import (
	"context"
	"time"

	"greengagespoke/domain"
)

// QuotaRequest asks for tokens of one part of a customer's quota.
type QuotaRequest struct {
	From     domain.HostID
	Customer string
	// Part is the number of the part of the quota, from 0.
	Part int
	// Needed is granted in full or not at all.
	Needed float64
	// Spare is granted besides, in full or in part, if the part has plenty.
	Spare float64
	// ConfigVersion is the version of the configuration at the asking host.
	ConfigVersion domain.Revision
}

// QuotaReply is the answer to a QuotaRequest.
type QuotaReply struct {
	// Granted is the number of tokens granted: 0, or at least what was needed. They expire after
	// a fixed time.
	Granted float64
	// Wait is the time after which to ask again if nothing is granted.
	Wait time.Duration
	// NotGranting says that the host does not grant this part at present, so that nothing is known
	// of the quota.
	NotGranting bool
}

// QuotaReturn gives back tokens that were granted and not used.
type QuotaReturn struct {
	Customer string
	Part     int
	Tokens   float64
	// Age is the time since they were granted.
	Age time.Duration
}

// QuotaPeer grants tokens of customers' quotas. Each part of a quota has one host that grants.
type QuotaPeer interface {
	Take(ctx context.Context, req QuotaRequest) (QuotaReply, error)
	GiveBack(ctx context.Context, ret QuotaReturn) error
}
