package domain

import "time"

// Completion is a request for generated text.
type Completion struct {
	Caller  CallerID
	Request RequestID
	// Attempt is 1 when the request is first sent and larger for a resend.
	Attempt int
	Model   string
	Prompt  string
	// MaxTokens is the maximum output length in tokens.
	MaxTokens int
	// DeliveredTokens is the number of output tokens that the caller already
	// received from an earlier attempt; a resumed stream starts after them.
	DeliveredTokens int
	// Delivered is the text of the tokens that the caller already received.
	Delivered string
}

// Key returns the identifier that all attempts at the request share.
func (c *Completion) Key() RequestKey {
	return RequestKey{Caller: c.Caller, Request: c.Request}
}

// Frame is one numbered token of a response. Numbers start at 1 and do not
// change across attempts: token 7 of a resumed response is number 7.
type Frame struct {
	Number int    `json:"number"`
	Text   string `json:"text"`
	// Last marks the end of the response. The last frame may have an empty text.
	Last bool `json:"last,omitempty"`
	// Attempt is the attempt that produced the frame.
	Attempt int `json:"attempt,omitempty"`
}

// SlotRequest asks a keeper for a slot on a decode engine and a prefill engine
// to go with it.
type SlotRequest struct {
	ID     AttemptID `json:"id"`
	Holder HostID    `json:"holder"`
	// HolderZone is the availability zone of the requesting host.
	HolderZone Zone      `json:"holder_zone"`
	Pool       PoolName  `json:"pool"`
	Route      RouteName `json:"route"`
	Class      Class     `json:"class"`
	Weight     float64   `json:"weight"`
	// PromptTokens and OutputTokens are the size of the request. OutputTokens is
	// the maximum output length that the caller asked for.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// PieceKeys are the keys of the prompt's full pieces.
	PieceKeys []PieceKey `json:"piece_keys,omitempty"`
	// Waited is how long the request had already waited before this call.
	Waited time.Duration `json:"waited"`
	// FirstTokenRemaining is the time remaining until the time-to-first-token target;
	// zero for patient requests.
	FirstTokenRemaining time.Duration `json:"first_token_left,omitempty"`
	// MaxWaiting is the maximum number of waiting requests of one caller; zero
	// means no limit.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// Avoid lists upstreams that must not be used because an earlier attempt
	// failed on them.
	Avoid []UpstreamID `json:"avoid,omitempty"`
	// Suspect reports that an upstream crashed while it ran the request. Two
	// suspects never run on the same upstream at the same time.
	Suspect bool `json:"suspect,omitempty"`
	// Fingerprint identifies the request's content, so that a request that
	// crashes upstreams is recognized when it is resent.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// Pieces returns the KV cache memory that the request needs, in pieces.
func (p *SlotRequest) Pieces() int {
	return Pieces(p.PromptTokens + p.OutputTokens)
}

// Grant is the right to use one slot on a decode engine, together with the
// prefill engine that was chosen for the request.
type Grant struct {
	ID      GrantID    `json:"id"`
	Request AttemptID  `json:"request"`
	Holder  HostID     `json:"holder"`
	Pool    PoolName   `json:"pool"`
	Decode  UpstreamID `json:"decode"`
	Prefill UpstreamID `json:"prefill"`
	// Pieces is the KV cache memory reserved on the decode engine, in pieces.
	Pieces int `json:"pieces"`
	// CachedTokens is the number of prompt tokens that the prefill engine is
	// expected to have in its prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// ExpectedTokens is the output length in tokens that the keeper predicted.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// TTL is how long the grant is valid without renewal.
	TTL time.Duration `json:"term"`
	// DecodeFreeIn is the predicted time until the decode slot is free; zero means
	// that it is free now.
	DecodeFreeIn time.Duration `json:"decode_in,omitempty"`
	// Suspect is copied from the request.
	Suspect bool `json:"suspect,omitempty"`
	// Fingerprint is copied from the request.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// ReleaseReason states why a grant ended.
type ReleaseReason string

// The reasons for which a grant is released.
const (
	ReleaseDone     ReleaseReason = "done"
	ReleaseCanceled ReleaseReason = "canceled"
	ReleaseFailed   ReleaseReason = "failed"
	// ReleaseCrashed means that the decode engine crashed while it ran the request.
	ReleaseCrashed ReleaseReason = "crashed"
)

// Release returns a grant to its keeper.
type Release struct {
	Grant  Grant         `json:"grant"`
	Reason ReleaseReason `json:"reason"`
	// OutputTokens is the length of the response, an input to length prediction.
	OutputTokens int `json:"output_tokens,omitempty"`
}
