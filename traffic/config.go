package traffic

import (
	"time"

	"greengagespoke/domain"
)

// ServiceName names a service of the configuration.
type ServiceName string

// RouteKind says what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered with a series of numbered events.
	Streaming
)

// Share is a weighted part of a route's requests.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route says where requests of a host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Shares holds at least one service with a positive weight.
	Shares []Share
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to an answer, or to the first event of a stream.
	Target time.Duration
	// MaxPause is the longest pause between two events of a timely stream.
	MaxPause time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
	// Generation says that the requests are prompts for model engines.
	Generation bool
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the number of tokens that an engine's memory holds.
	MemoryTokens int
	// HandleLife is how long an engine keeps a prompt that it has read.
	HandleLife time.Duration
	// ReservationLife is the longest life of a reserved place.
	ReservationLife time.Duration
}

// Service is a set of equal upstreams.
type Service struct {
	Name ServiceName
	// MaxConns is the number of connections that an upstream accepts from all
	// hosts together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is one version of the configuration. It is never changed.
type Config struct {
	Version  domain.Revision
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits
	// Source is the text that the configuration was decoded from, to hand on to
	// other hosts.
	Source []byte
}
