package ports

import (
	"context"
	"time"

	"greengagespoke/domain"
)

// RateLimit is a rate limit that an upstream stated in a response.
type RateLimit struct {
	// Rate is the limit in requests a second that all hosts together may send; 0 if the
	// upstream states none.
	Rate float64
	// Age is the time since the response.
	Age time.Duration
}

// RateRequest asks for one request to an upstream that states a rate limit.
type RateRequest struct {
	From domain.HostID
	// Process is the process of the upstream.
	Process domain.UpstreamID
	// Limit is the limit that the asking host knows.
	Limit RateLimit
	// ReportOnly only passes on the limit and asks for nothing.
	ReportOnly bool
}

// RateReply is the answer to a RateRequest.
type RateReply struct {
	Granted bool
	// Wait is the time after which to ask again if the request is not granted.
	Wait time.Duration
	// Limit is the newest limit that the granting host knows.
	Limit RateLimit
}

// RatePeer grants requests to upstreams that state a rate limit. Each of these upstreams
// has one host that grants.
type RatePeer interface {
	// Grant answers whether the asking host may send one request.
	Grant(ctx context.Context, req RateRequest) (RateReply, error)
}
