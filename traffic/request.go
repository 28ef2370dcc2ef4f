package traffic

import (
	"context"
	"time"

	"greengagespoke/domain"
)

// Request is one request of a caller.
type Request struct {
	ID   string
	Host string
	Path string
	// Arrived is when the request was read, Deadline when its caller gives up.
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens and MaxOutput are the declared sizes of a generation, OutputHint
	// is the caller's estimate of the output. All are tokens, 0 where unknown.
	PromptTokens, MaxOutput, OutputHint int
	// Message is what the adapter needs to send the request on.
	Message any
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status int
	// Header is the adapter's.
	Header any
	Body   []byte
}

// Failed says whether the upstream reports a failure of its own.
func (a *Answer) Failed() bool { return a.Status >= 500 }

// Prompt is a read prompt in the memory of a prefill engine.
type Prompt struct {
	Engine *Upstream
	Handle string
}

// Reservation is a reserved place on a decode engine.
type Reservation struct {
	Engine *Upstream
	ID     string
	Tokens int
}

// SendOptions go with a request to an engine.
type SendOptions struct {
	// Left is the time that the caller still waits.
	Left time.Duration
	// Resume says that the stream goes on after LastEvent.
	Resume    bool
	LastEvent string
	// Prompt and Reservation may be nil.
	Prompt      *Prompt
	Reservation *Reservation
}

// Event is one whole event of a stream.
type Event struct {
	// ID is the event's number, or empty where it has none.
	ID  string
	Raw []byte
}

// Stream is the answer of a decode engine, event by event.
type Stream interface {
	// Head is the adapter's status and headers.
	Head() any
	// Next returns the next event, io.EOF after the last one of a whole answer, or
	// a *CallError. It waits at most for the given time.
	Next(wait time.Duration) (Event, error)
	// Close ends the stream. A stream that has not ended is cancelled.
	Close()
}

// Effect is what is known of a call that failed.
type Effect int

// The effects of failed calls.
const (
	// EffectUnknown means that the request may have run.
	EffectUnknown Effect = iota
	// EffectNotSent means that no byte of the request left this host.
	EffectNotSent
	// EffectRejected means that the upstream said that it did not run the request.
	EffectRejected
)

// CallError is a call to an upstream that brought no answer.
type CallError struct {
	Effect Effect
	// Misdirected says that another process has the upstream's address.
	Misdirected bool
	Err         error
}

// Missed says that the request did not reach the upstream it was meant for.
func (e *CallError) Missed() bool { return e.Effect == EffectNotSent || e.Misdirected }

// Error implements error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Upstreams calls upstreams. Cancelling a context ends the call and the work.
type Upstreams interface {
	// Connected reports whether a connection to an upstream is idle. A new one is
	// dear.
	Connected(up *Upstream) bool
	// Call sends a plain request. Errors are *CallError.
	Call(ctx context.Context, up *Upstream, req *Request, left time.Duration) (*Answer, error)
	// Reserve asks a decode engine for a slot and memory for a time.
	Reserve(ctx context.Context, up *Upstream, tokens int, life time.Duration) (*Reservation, error)
	// Prefill has an engine read the prompt.
	Prefill(ctx context.Context, up *Upstream, req *Request, opts SendOptions) (*Prompt, error)
	// Stream starts a generation on a decode engine.
	Stream(ctx context.Context, up *Upstream, req *Request, opts SendOptions) (Stream, error)
	// DropReservation gives a place back and waits until the engine has it, for a
	// bounded time. A place that is not given back lapses.
	DropReservation(ctx context.Context, r *Reservation)
	// DropPrompt frees a prompt that is not used. It does not wait.
	DropPrompt(p *Prompt)
}

// Caller takes the answer to one request.
type Caller interface {
	// Answer sends a whole answer.
	Answer(a *Answer)
	// Refuse sends a refusal.
	Refuse(r *domain.Refusal)
	// Start sends the head of a stream.
	Start(head any)
	// Event sends an event. An error means that the caller has gone.
	Event(e Event) error
	// Abort breaks a started stream off, so that it does not look complete.
	Abort()
}
