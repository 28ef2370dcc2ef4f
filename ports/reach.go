package ports

import (
	"context"

	"greengagespoke/domain"
)

// ReachQuery asks another host what it reaches.
type ReachQuery struct {
	// Service is the service whose upstreams are meant.
	Service string
	// Upstream, unless it is empty, is an upstream whose address is to be tried.
	Upstream domain.UpstreamID
}

// ReachReply is the answer to a ReachQuery.
type ReachReply struct {
	// Reached says that the host reached an upstream of the service a short time ago.
	Reached bool
	// Tried says that the address of the upstream was tried, Listening that a process accepts
	// connections there.
	Tried, Listening bool
}

// ReachPeer tells other hosts what this host reaches.
type ReachPeer interface {
	Reach(ctx context.Context, query ReachQuery) (ReachReply, error)
}
