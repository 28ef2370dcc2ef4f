package ports

import (
	"context"
	"fmt"
	"time"

	"greengagespoke/domain"
)

// Engine is one model engine. All calls are bounded by their context. Errors
// are *EngineError where the engine answered or could not be reached.
type Engine interface {
	// Prefill computes the KV cache of a prompt and keeps it for a short time
	// under the returned handle.
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	// Import transfers a prefill result from another engine and takes a slot
	// and memory for the attempt.
	Import(ctx context.Context, req ImportRequest) error
	// Decode starts or resumes the stream of an imported attempt. Frames with
	// numbers up to after are left out.
	Decode(ctx context.Context, id domain.AttemptID, after int) (FrameStream, error)
	// Cancel ends an attempt in whatever stage it is and frees its memory. It
	// is idempotent and succeeds for attempts that the engine does not have.
	Cancel(ctx context.Context, id domain.AttemptID) error
	// List returns the attempts that hold memory on the engine.
	List(ctx context.Context) ([]Running, error)
	// Load returns the engine's load report, which lags behind.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events of the prefix cache with sequence numbers
	// above after. Missing numbers are lost events.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order changes the engine's model or role.
	Order(ctx context.Context, order Order) error
}

// PrefillRequest asks a prefill engine for the KV cache of a prompt.
type PrefillRequest struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	Model  string           `json:"model"`
	Prompt string           `json:"prompt"`
	// Delivered is output of an earlier attempt that continues the prompt.
	Delivered string `json:"delivered,omitempty"`
	// DeliveredTokens is the number of tokens in Delivered.
	DeliveredTokens int `json:"delivered_tokens,omitempty"`
	// MaxTokens bounds the whole answer, delivered tokens included.
	MaxTokens int `json:"max_tokens"`
	// Priority orders waiting work in the engine; larger goes first.
	Priority int `json:"priority,omitempty"`
}

// PrefillResult names a KV cache that a prefill engine holds for export.
type PrefillResult struct {
	Handle string `json:"handle"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes"`
	// CachedTokens is the part of the prompt that came from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// ExpiresIn is how long the engine keeps the result.
	ExpiresIn time.Duration `json:"expires_in"`
}

// ImportRequest asks a decode engine to fetch a prefill result.
type ImportRequest struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	// Source is the prefill engine that holds the result and SourceAddress its
	// address.
	Source        domain.UpstreamID `json:"source"`
	SourceAddress string            `json:"source_address"`
	Handle        string            `json:"handle"`
	// Pieces is the memory to reserve.
	Pieces int `json:"pieces"`
}

// FrameStream delivers the frames of one decode.
type FrameStream interface {
	// Next returns the next frame. It returns io.EOF after the last frame and
	// *EngineError when the stream breaks.
	Next(ctx context.Context) (domain.Frame, error)
	// Close ends reading. It does not cancel the attempt.
	Close() error
}

// Running is one attempt that holds memory on an engine.
type Running struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	Pieces int              `json:"pieces"`
	// Role is the stage the attempt is in: a prefill result or a decode.
	Role domain.Role `json:"role"`
	// Emitted is the number of output tokens so far.
	Emitted int `json:"emitted"`
}

// Load is an engine's report of its use.
type Load struct {
	Running      int `json:"running"`
	FreePieces   int `json:"free_pieces"`
	QueuedTokens int `json:"queued_tokens"`
	// Age is how old the report is.
	Age time.Duration `json:"age"`
}

// CacheEvent says that a prefix piece was stored in or removed from the cache.
type CacheEvent struct {
	Sequence uint64          `json:"sequence"`
	Key      domain.PieceKey `json:"key"`
	Removed  bool            `json:"removed,omitempty"`
}

// Order tells an engine what it should be. Orders are absolute and idempotent.
type Order struct {
	Model   string      `json:"model"`
	Adapter string      `json:"adapter,omitempty"`
	Version int         `json:"version"`
	Role    domain.Role `json:"role"`
	// Fence is the fencing number of the lease under which the order is sent.
	Fence int64 `json:"fence"`
}

// EngineErrorKind classifies failures of engine calls.
type EngineErrorKind string

// The kinds of engine errors.
const (
	// EngineUnreachable means that the engine could not be reached, or that the
	// connection broke. The work may have started.
	EngineUnreachable EngineErrorKind = "unreachable"
	// EngineFull means that no slot or memory was free. Nothing started.
	EngineFull EngineErrorKind = "full"
	// EngineExpired means that the prefill result no longer exists.
	EngineExpired EngineErrorKind = "expired"
	// EngineStalled means that a transfer made no progress in time.
	EngineStalled EngineErrorKind = "stalled"
	// EngineUnknown means that the engine does not have the attempt.
	EngineUnknown EngineErrorKind = "unknown_attempt"
	// EngineFenced means that an order carried an old fencing number.
	EngineFenced EngineErrorKind = "fenced"
	// EngineCanceled means that the attempt was canceled at the engine.
	EngineCanceled EngineErrorKind = "canceled"
	// EngineInvalid means that the engine did not accept the request.
	EngineInvalid EngineErrorKind = "invalid"
)

// EngineError is a failed engine call.
type EngineError struct {
	Kind     EngineErrorKind
	Upstream domain.UpstreamID
	Message  string
}

// Error implements error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %s", e.Upstream, e.Kind, e.Message)
}
