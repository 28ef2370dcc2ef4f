package domain

import "time"

// Completion is a request for generated text.
type Completion struct {
	Caller  CallerID
	Request RequestID
	// Attempt is 1 for a first send and larger for a resend.
	Attempt int
	Model   string
	Prompt  string
	// MaxTokens bounds the output length in tokens.
	MaxTokens int
	// DeliveredTokens is the number of tokens of an earlier attempt that the
	// caller already has; a resumed stream starts after them.
	DeliveredTokens int
	// Delivered is the text of the tokens that the caller already has.
	Delivered string
}

// Key returns the identifier that all attempts of the request share.
func (c *Completion) Key() RequestKey {
	return RequestKey{Caller: c.Caller, Request: c.Request}
}

// Frame is one numbered token of an answer. Numbers start at 1 and do not
// change across attempts: token 7 of a resumed answer is number 7.
type Frame struct {
	Number int    `json:"number"`
	Text   string `json:"text"`
	// Last marks the end of the answer. A last frame may have an empty text.
	Last bool `json:"last,omitempty"`
	// Attempt is the attempt that produced the frame.
	Attempt int `json:"attempt,omitempty"`
}

// PlaceRequest asks for a decode place and a prefill upstream for it.
type PlaceRequest struct {
	ID     AttemptID `json:"id"`
	Holder HostID    `json:"holder"`
	// HolderZone is the availability zone of the asking host.
	HolderZone Zone      `json:"holder_zone"`
	Pool       PoolName  `json:"pool"`
	Route      RouteName `json:"route"`
	Class      Class     `json:"class"`
	Weight     float64   `json:"weight"`
	// PromptTokens and OutputTokens are the request's size; OutputTokens is the
	// largest output that the caller asked for.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// PieceKeys are the keys of the prompt's full pieces.
	PieceKeys []PieceKey `json:"piece_keys,omitempty"`
	// Waited is how long the request has waited already, before this call.
	Waited time.Duration `json:"waited"`
	// FirstTokenLeft is what is left of the time-to-first-token target; zero
	// on patient requests.
	FirstTokenLeft time.Duration `json:"first_token_left,omitempty"`
	// MaxWaiting bounds the waiting requests of one caller; zero means no bound.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// Avoid lists upstreams that must not be used, because an earlier attempt
	// failed on them.
	Avoid []UpstreamID `json:"avoid,omitempty"`
	// Suspect says that an upstream crashed while it ran the request. A suspect
	// never shares an upstream with another suspect.
	Suspect bool `json:"suspect,omitempty"`
	// Fingerprint identifies the request's content, so that a request that
	// crashes upstreams is recognised when it is sent again.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// Pieces returns the memory that the request needs in pieces.
func (p *PlaceRequest) Pieces() int {
	return Pieces(p.PromptTokens + p.OutputTokens)
}

// Grant is the right to use one decode place, together with the prefill
// upstream that was chosen for it.
type Grant struct {
	ID      GrantID    `json:"id"`
	Request AttemptID  `json:"request"`
	Holder  HostID     `json:"holder"`
	Pool    PoolName   `json:"pool"`
	Decode  UpstreamID `json:"decode"`
	Prefill UpstreamID `json:"prefill"`
	// Pieces is the reserved memory on the decode upstream.
	Pieces int `json:"pieces"`
	// CachedTokens is the number of prompt tokens that the prefill upstream is
	// expected to have in its prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// ExpectedTokens is the output length that the keeper planned with.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Term is how long the grant lasts without renewal.
	Term time.Duration `json:"term"`
	// DecodeIn is when the decode place is predicted to be free; zero means now.
	DecodeIn time.Duration `json:"decode_in,omitempty"`
	// Suspect repeats the mark of the request.
	Suspect bool `json:"suspect,omitempty"`
	// Fingerprint repeats the fingerprint of the request.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// ReleaseReason says why a grant ended.
type ReleaseReason string

// The reasons for releases.
const (
	ReleaseDone     ReleaseReason = "done"
	ReleaseCanceled ReleaseReason = "canceled"
	ReleaseFailed   ReleaseReason = "failed"
	// ReleaseCrashed says that the decode upstream died while it ran the request.
	ReleaseCrashed ReleaseReason = "crashed"
)

// Release gives a grant back.
type Release struct {
	Grant  Grant         `json:"grant"`
	Reason ReleaseReason `json:"reason"`
	// OutputTokens is the length of the answer, for length prediction.
	OutputTokens int `json:"output_tokens,omitempty"`
}
