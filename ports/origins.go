package ports

import (
	"context"
	"time"
)

// StreamOrigin states which software version began a stream. It never changes.
type StreamOrigin struct {
	// Request is the identifier of the request that brought the first event to its caller.
	Request string
	// Fingerprint identifies the content of the request and its caller, 0 if unknown.
	Fingerprint uint64
	Service     string
	// Version is empty if it is not known.
	Version string
	// TTL is the time after which the stream can no longer be taken up.
	TTL time.Duration
	// ByContent asks a host to keep the origin as one of those that keep the origins with this
	// fingerprint. A host that is none of them by its own view returns an error.
	ByContent bool
	// Announced says that the stream has not begun. If its request begins it at another version,
	// that one counts.
	Announced bool
}

// OriginQuery asks which software version began a stream: that of the request, or if it is
// empty, the one with the fingerprint.
type OriginQuery struct {
	Request     string
	Fingerprint uint64
}

// OriginReply is the answer to an OriginQuery.
type OriginReply struct {
	// Known says that Origin holds the origin.
	Known  bool
	Origin StreamOrigin
	// Ambiguous says that streams of several versions answer the query.
	Ambiguous bool
	// Holder says that the host is one of those that keep the origins with the fingerprint, by
	// its own view of the hosts. Hosts of the last release never say so.
	Holder bool
}

// OriginPeer keeps the origins of streams for other hosts.
type OriginPeer interface {
	Keep(ctx context.Context, origin StreamOrigin) error
	Find(ctx context.Context, query OriginQuery) (OriginReply, error)
}
