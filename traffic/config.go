package traffic

import (
	"time"

	"greengagespoke/domain"
)

// ServiceName identifies a service in the configuration.
type ServiceName string

// RouteKind determines whether requests of a route may be retried.
type RouteKind int

// Route kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may be retried after any failure.
	Idempotent
	// Streaming requests are answered with a sequence of numbered events.
	Streaming
)

// Share assigns a weighted share of a route's requests to a service.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route maps a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Shares holds at least one service with a positive weight.
	Shares []Share
	// Timeout bounds how long a caller waits for its response.
	Timeout time.Duration
	// TargetLatency is the target latency of a response, or of the first event of a stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest gap between two events of a stream.
	TargetEventGap time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of upstreams that one request is sent to.
	MaxAttempts int
	// Resumable means that an interrupted stream may be resumed on another upstream.
	Resumable bool
	// Generation means that requests are prompts that need prefill and decode engines.
	Generation bool
	// Public means that requests need no key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the KV-cache capacity of an engine in tokens.
	MemoryTokens int
	// PromptTTL is the TTL of a prefilled prompt in an engine's memory.
	PromptTTL time.Duration
	// ReservationTTL is the maximum TTL of a reservation on a decode engine.
	ReservationTTL time.Duration
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name ServiceName
	// MaxConns is the number of connections that one upstream accepts from all hosts
	// together.
	MaxConns int
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Limits bounds the size of a caller's request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  domain.Revision
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits
	// RequiresKeys means that requests need the key of a customer, unless their route is public.
	RequiresKeys bool
	Customers    []Customer
	// HopKey is the secret under which hosts with this configuration state customers to each
	// other. It is empty unless RequiresKeys.
	HopKey []byte
	// Source is the encoded configuration, forwarded unchanged to other hosts.
	Source []byte
}
