package ports

import (
	"context"
	"fmt"
	"time"

	"greengagespoke/domain"
)

// Engine is the client of one model engine. The context bounds every call.
// Errors are of type *EngineError if the engine returned an error or could not
// be reached.
type Engine interface {
	// Prefill computes the KV cache of a prompt. The engine keeps the result
	// under the returned handle until the result expires.
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	// Import transfers a prefill result from another engine and allocates a slot
	// and KV cache memory to the attempt.
	Import(ctx context.Context, req ImportRequest) error
	// Decode starts or resumes the stream of an imported attempt. It skips frames
	// with numbers up to and including after.
	Decode(ctx context.Context, id domain.AttemptID, after int) (FrameStream, error)
	// Cancel ends an attempt in any stage and frees its memory. It is idempotent
	// and succeeds for attempts that the engine does not have.
	Cancel(ctx context.Context, id domain.AttemptID) error
	// List returns the attempts that hold memory on the engine.
	List(ctx context.Context) ([]Running, error)
	// Load returns the engine's last load report; Load.Age says how old it is.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the prefix cache events with sequence numbers greater
	// than after. A gap in the sequence numbers means that events were lost.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order changes the model or role of the engine.
	Order(ctx context.Context, order Order) error
}

// PrefillRequest asks a prefill engine for the KV cache of a prompt.
type PrefillRequest struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	Model  string           `json:"model"`
	Prompt string           `json:"prompt"`
	// Delivered is the output of an earlier attempt that the caller already
	// received. Prefill processes it as a continuation of the prompt.
	Delivered string `json:"delivered,omitempty"`
	// DeliveredTokens is the number of tokens in Delivered.
	DeliveredTokens int `json:"delivered_tokens,omitempty"`
	// MaxTokens is the maximum length of the complete response, including
	// delivered tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority orders queued work in the engine; larger values run first.
	Priority int `json:"priority,omitempty"`
}

// PrefillResult identifies a KV cache that a prefill engine holds for export.
type PrefillResult struct {
	Handle string `json:"handle"`
	// Bytes is the size of the KV cache in bytes.
	Bytes int64 `json:"bytes"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// ExpiresIn is the time until the engine discards the result.
	ExpiresIn time.Duration `json:"expires_in"`
}

// ImportRequest asks a decode engine to fetch a prefill result.
type ImportRequest struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	// Source is the prefill engine that holds the result, and SourceAddress is
	// its address.
	Source        domain.UpstreamID `json:"source"`
	SourceAddress string            `json:"source_address"`
	Handle        string            `json:"handle"`
	// Pieces is the KV cache memory to reserve, in pieces.
	Pieces int `json:"pieces"`
}

// FrameStream is the stream of frames of one decode.
type FrameStream interface {
	// Next returns the next frame. The error is io.EOF after the last frame and
	// an *EngineError if the stream breaks.
	Next(ctx context.Context) (domain.Frame, error)
	// Close stops reading the stream. It does not cancel the attempt.
	Close() error
}

// Running is one attempt that holds KV cache memory on an engine.
type Running struct {
	ID     domain.AttemptID `json:"id"`
	Holder domain.HostID    `json:"holder"`
	Pieces int              `json:"pieces"`
	// Role is the stage of the attempt: RolePrefill if it holds a prefill result,
	// RoleDecode if it holds a decode slot.
	Role domain.Role `json:"role"`
	// Emitted is the number of output tokens produced so far.
	Emitted int `json:"emitted"`
}

// Load is an engine's report of its utilization.
type Load struct {
	Running      int `json:"running"`
	FreePieces   int `json:"free_pieces"`
	QueuedTokens int `json:"queued_tokens"`
	// Age is the time since the report was made.
	Age time.Duration `json:"age"`
}

// CacheEvent reports that a piece was stored in or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64          `json:"sequence"`
	Key      domain.PieceKey `json:"key"`
	Removed  bool            `json:"removed,omitempty"`
}

// Order sets the model, adapter, version and role of an engine. It states the
// complete target state, not a change, and is idempotent.
type Order struct {
	Model   string      `json:"model"`
	Adapter string      `json:"adapter,omitempty"`
	Version int         `json:"version"`
	Role    domain.Role `json:"role"`
	// FencingToken is the fencing token of the lease under which the order is sent.
	FencingToken int64 `json:"fence"`
}

// EngineErrorKind classifies failed engine calls.
type EngineErrorKind string

// The kinds of engine errors.
const (
	// EngineUnreachable means that the engine could not be reached, or that the
	// connection broke. The work may have started.
	EngineUnreachable EngineErrorKind = "unreachable"
	// EngineFull means that no slot or no KV cache memory was free. The work did
	// not start.
	EngineFull EngineErrorKind = "full"
	// EngineExpired means that the prefill result has expired.
	EngineExpired EngineErrorKind = "expired"
	// EngineStalled means that a KV cache transfer made no progress in time.
	EngineStalled EngineErrorKind = "stalled"
	// EngineUnknownAttempt means that the engine has no such attempt.
	EngineUnknownAttempt EngineErrorKind = "unknown_attempt"
	// EngineFenced means that the order had a stale fencing token.
	EngineFenced EngineErrorKind = "fenced"
	// EngineCanceled means that the attempt was canceled at the engine.
	EngineCanceled EngineErrorKind = "canceled"
	// EngineInvalid means that the engine rejected the request as invalid.
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
