package domain

import "time"

// Class says how a route's requests wait for a decode place.
type Class string

// The classes of routes.
const (
	// ClassInteractive requests are refused early when the first-token target
	// cannot be met.
	ClassInteractive Class = "interactive"
	// ClassPatient requests wait until they are done or the caller goes.
	ClassPatient Class = "patient"
)

// PoolKind says what the upstreams of a pool are.
type PoolKind string

// The kinds of pools.
const (
	// PoolModel pools hold model engines in prefill and decode roles.
	PoolModel PoolKind = "model"
	// PoolService pools hold plain services.
	PoolService PoolKind = "service"
)

// Role is the work that a model engine does.
type Role string

// The roles of an upstream.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleService Role = "service"
)

// Route is a row of the routes table. A model route matches requests for a
// model by name; a service route matches a path prefix.
type Route struct {
	// Name is the key of the row.
	Name RouteName `json:"name" yaml:"name"`
	// Pool is the name of the pool that serves the route.
	Pool PoolName `json:"pool" yaml:"pool"`
	// Model is the model name that callers ask for; empty on service routes.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// PathPrefix is matched against the request path; empty on model routes.
	PathPrefix string `json:"path_prefix,omitempty" yaml:"path_prefix,omitempty"`
	// Class is interactive or patient: how requests wait for a decode place.
	Class Class `json:"class" yaml:"class"`
	// FirstToken is the time-to-first-token target.
	FirstToken Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"`
	// BetweenTokens is the time-between-tokens target.
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens,omitempty"`
	// MaxOutputTokens bounds the output length that a caller may ask for.
	MaxOutputTokens int `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
	// Timeout bounds a whole request; zero means no limit.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// RetryPercent is the retry budget: retries per hundred successes.
	RetryPercent int `json:"retry_percent,omitempty" yaml:"retry_percent,omitempty"`
	// MaxWaitingPerCaller bounds the waiting requests of one caller.
	MaxWaitingPerCaller int `json:"max_waiting_per_caller,omitempty" yaml:"max_waiting_per_caller,omitempty"`
	// NonIdempotent lists the calls that must run at most once, as "METHOD /path"
	// with an optional trailing "*" in the path.
	NonIdempotent []string `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// Weights gives callers a share other than 1 in fair queueing.
	Weights map[CallerID]float64 `json:"weights,omitempty" yaml:"weights,omitempty"`
}

// Pool is a row of the pools table.
type Pool struct {
	// Name is the key of the row.
	Name PoolName `json:"name" yaml:"name"`
	// Kind is model for engines or service for plain services.
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model is what the engines of a model pool should serve.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is what the engines should load on top of the model; empty for none.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Version is the version of model and adapter that the engines should serve.
	Version int `json:"version,omitempty" yaml:"version,omitempty"`
	// ServingMinimum is the number of upstreams that loads and role changes
	// never go below.
	ServingMinimum int `json:"serving_minimum,omitempty" yaml:"serving_minimum,omitempty"`
	// ChecksFencing says that the engines refuse orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// ChecksIdempotencyKey says that the services deduplicate calls by key.
	ChecksIdempotencyKey bool `json:"checks_idempotency_key,omitempty" yaml:"checks_idempotency_key,omitempty"`
	// MinPrefill is the smallest number of engines in the prefill role.
	MinPrefill int `json:"min_prefill,omitempty" yaml:"min_prefill,omitempty"`
	// MaxPrefill is the largest number of engines in the prefill role. Equal
	// bounds switch role changes off.
	MaxPrefill int `json:"max_prefill,omitempty" yaml:"max_prefill,omitempty"`
	// Upstreams are the engines or services of the pool.
	Upstreams []Upstream `json:"upstreams" yaml:"upstreams"`
}

// Upstream is one engine or service of a pool.
type Upstream struct {
	// ID is the name of the upstream, unique over all pools.
	ID UpstreamID `json:"id" yaml:"id"`
	// Zone is the availability zone of the upstream.
	Zone Zone `json:"zone" yaml:"zone"`
	// Address is host:port, with an IP number as the host.
	Address string `json:"address" yaml:"address"`
	// Role is prefill or decode in model pools and service in service pools.
	Role Role `json:"role" yaml:"role"`
	// Slots is the number of requests a decode engine runs at a time.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Pieces is the KV cache memory of a decode engine in pieces of 1,024 tokens.
	Pieces int `json:"pieces,omitempty" yaml:"pieces,omitempty"`
	// PrefillRate is the prompt tokens per second that a prefill engine computes.
	PrefillRate int `json:"prefill_rate,omitempty" yaml:"prefill_rate,omitempty"`
	// LinkRate is the KV transfer rate of the upstream's link in bytes per second.
	LinkRate int64 `json:"link_rate,omitempty" yaml:"link_rate,omitempty"`
}

// Duration is a time.Duration that is written as "250ms" in YAML and JSON.
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It wants a unit: "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
