package domain

import "time"

// Class determines how a route's requests wait for a decode slot.
type Class string

// The classes of routes.
const (
	// ClassInteractive requests are rejected early when the time-to-first-token
	// target cannot be met.
	ClassInteractive Class = "interactive"
	// ClassPatient requests wait until they complete or the caller disconnects.
	ClassPatient Class = "patient"
)

// PoolKind is the kind of upstreams in a pool.
type PoolKind string

// The kinds of pools.
const (
	// PoolModel pools consist of model engines in prefill and decode roles.
	PoolModel PoolKind = "model"
	// PoolService pools consist of plain service instances.
	PoolService PoolKind = "service"
)

// Role is the kind of work that an upstream does.
type Role string

// The roles of an upstream.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleService Role = "service"
)

// Route is a row of the routes table. A model route matches requests by model
// name; a service route matches a path prefix.
type Route struct {
	// Name is the key of the row.
	Name RouteName `json:"name" yaml:"name"`
	// Pool is the name of the pool that serves the route.
	Pool PoolName `json:"pool" yaml:"pool"`
	// Model is the model name that callers request; empty for service routes.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// PathPrefix is matched against the request path; empty for model routes.
	PathPrefix string `json:"path_prefix,omitempty" yaml:"path_prefix,omitempty"`
	// Class is interactive or patient: how requests wait for a decode slot.
	Class Class `json:"class" yaml:"class"`
	// FirstToken is the time-to-first-token target.
	FirstToken Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"`
	// BetweenTokens is the time-between-tokens target.
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens,omitempty"`
	// MaxOutputTokens is the maximum output length that a caller may request.
	MaxOutputTokens int `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
	// Timeout limits the total duration of a request; zero means no limit.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// RetryPercent is the retry budget: retries per 100 successes.
	RetryPercent int `json:"retry_percent,omitempty" yaml:"retry_percent,omitempty"`
	// MaxWaitingPerCaller is the maximum number of waiting requests of one caller.
	MaxWaitingPerCaller int `json:"max_waiting_per_caller,omitempty" yaml:"max_waiting_per_caller,omitempty"`
	// NonIdempotent lists the calls that must run at most once, as "METHOD /path"
	// with an optional trailing "*" wildcard in the path.
	NonIdempotent []string `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// Weights sets the fair-queueing weight of callers whose weight is not 1.
	Weights map[CallerID]float64 `json:"weights,omitempty" yaml:"weights,omitempty"`
}

// Pool is a row of the pools table.
type Pool struct {
	// Name is the key of the row.
	Name PoolName `json:"name" yaml:"name"`
	// Kind is model for model engines or service for plain services.
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model is the model that the engines of a model pool should serve.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is the adapter that the engines should load on top of the model;
	// empty for none.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Version is the version of the model and adapter that the engines should
	// serve.
	Version int `json:"version,omitempty" yaml:"version,omitempty"`
	// ServingMinimum is the smallest number of upstreams that model loads and
	// role changes leave serving.
	ServingMinimum int `json:"serving_minimum,omitempty" yaml:"serving_minimum,omitempty"`
	// ChecksFencing states that the engines reject orders with a stale fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// ChecksIdempotencyKey states that the services deduplicate calls by
	// idempotency key.
	ChecksIdempotencyKey bool `json:"checks_idempotency_key,omitempty" yaml:"checks_idempotency_key,omitempty"`
	// MinPrefill is the smallest number of engines in the prefill role.
	MinPrefill int `json:"min_prefill,omitempty" yaml:"min_prefill,omitempty"`
	// MaxPrefill is the largest number of engines in the prefill role. If it
	// equals the smallest number, role changes are disabled.
	MaxPrefill int `json:"max_prefill,omitempty" yaml:"max_prefill,omitempty"`
	// Upstreams are the engines or services of the pool.
	Upstreams []Upstream `json:"upstreams" yaml:"upstreams"`
}

// Upstream is one model engine or service instance of a pool.
type Upstream struct {
	// ID is the name of the upstream, unique across all pools.
	ID UpstreamID `json:"id" yaml:"id"`
	// Zone is the availability zone of the upstream.
	Zone Zone `json:"zone" yaml:"zone"`
	// Address is host:port, where host is an IP address.
	Address string `json:"address" yaml:"address"`
	// Role is prefill or decode in model pools and service in service pools.
	Role Role `json:"role" yaml:"role"`
	// Slots is the number of requests that a decode engine runs concurrently.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Pieces is the KV cache size of a decode engine in pieces of 1,024 tokens.
	Pieces int `json:"pieces,omitempty" yaml:"pieces,omitempty"`
	// PrefillRate is the prefill throughput of a prefill engine in prompt tokens
	// per second.
	PrefillRate int `json:"prefill_rate,omitempty" yaml:"prefill_rate,omitempty"`
	// LinkRate is the KV transfer rate of the upstream's network link in bytes per
	// second.
	LinkRate int64 `json:"link_rate,omitempty" yaml:"link_rate,omitempty"`
}

// Duration is a time.Duration that is encoded as a string such as "250ms" in
// YAML and JSON.
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The value must have a unit,
// as in "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
