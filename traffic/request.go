package traffic

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

// Request is a request from a caller.
type Request struct {
	ID   string
	Host string
	Path string
	// Arrived is when the request was received, Deadline when its caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens and MaxOutput are the declared prompt size and output limit of a
	// generation, OutputHint is the caller's estimate of the output size. All are in
	// tokens, 0 if unknown.
	PromptTokens, MaxOutput, OutputHint int
	// Fingerprint identifies what is sent. It is the same for each attempt of each caller, at
	// any host, and 0 if it is unknown.
	Fingerprint uint64
	// CallerFingerprint also identifies by whom it is sent.
	CallerFingerprint uint64
	// Parts identify the parts of the prompt that other requests may share, in order, by
	// PartFingerprint. There are at most MaxParts.
	Parts []uint64
	// PromptParts are all parts of the prompt with their sizes, in order: the shared ones, and the
	// last one, which belongs to the request or its session. There are at most MaxParts, and none
	// behind one whose size is not known.
	PromptParts []PromptPart
	// LastEventID is the last event that the caller has of a stream that it takes up, and
	// empty for other requests. Resumes is the ID of the request that brought the first event
	// of that stream, as the caller states it.
	LastEventID, Resumes string
	// Hop is set if another host passed the request on.
	Hop *Hop
	// Credential is that of the key that the request carries.
	Credential Credential
	// Customer is who sent the request, nil if it is not known. HidesCredential means that the
	// configuration has customers, so that upstreams get the name of the customer, and neither the
	// key nor a name that the caller states.
	Customer        *Customer
	HidesCredential bool
	// Message holds the adapter's data for forwarding the request.
	Message any
}

// Fingerprint returns the fingerprint of a request: a hash of the host name, the path with
// its query, and the body.
func Fingerprint(host, target string, body []byte) uint64 {
	return hash([]byte(host), []byte(target), body)
}

// CallerFingerprint returns the fingerprint of a request of one caller.
func CallerFingerprint(caller string, fingerprint uint64) uint64 {
	return hash([]byte(caller), binary.LittleEndian.AppendUint64(nil, fingerprint))
}

// hash returns a hash of texts that hold no zero bytes, but for the last one.
func hash(texts ...[]byte) uint64 {
	d := xxhash.New()
	for i, text := range texts {
		if i > 0 {
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(text)
	}
	return d.Sum64()
}

// MaxParts bounds the parts of a prompt that are told apart. Further ones are ignored.
const MaxParts = 64

// PartFingerprint returns the fingerprint of a part of a prompt: a hash of its identifier.
func PartFingerprint(id string) uint64 { return xxhash.Sum64String(id) }

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID identifies the part, by PartFingerprint.
	ID     uint64
	Tokens int
}

// Answer is a complete response of an upstream.
type Answer struct {
	Status int
	// Header is the adapter's representation of the response headers.
	Header any
	Body   []byte
	// Unframed means that the response had neither a length nor chunks and ended with its
	// connection, as it also does if the upstream's process ends.
	Unframed bool
}

// Failed reports whether the upstream answered with a server error (5xx).
func (a *Answer) Failed() bool { return a.Status >= 500 }

// Prompt is a prefilled prompt in the memory of a prefill engine.
type Prompt struct {
	Engine *Upstream
	Handle string
}

// Reservation is a reserved slot, with memory for Tokens, on a decode engine.
type Reservation struct {
	Engine *Upstream
	ID     string
	Tokens int
}

// SendOptions are the per-attempt options of a request to an engine.
type SendOptions struct {
	// Remaining is the time remaining until the caller's deadline.
	Remaining time.Duration
	// Resume means that the stream continues after the event LastEventID.
	Resume      bool
	LastEventID string
	// Verify means that the request must not reach another process than the upstream's. The
	// connection is asked for the process first, unless that is known.
	Verify bool
	// Prompt and Reservation are nil if the attempt has none.
	Prompt      *Prompt
	Reservation *Reservation
	// Urgency is the urgency that the engine is told, 0 to 9 with 0 first. It is nil if the engine
	// is told none.
	Urgency *int
}

// Event is a complete event of a stream.
type Event struct {
	// ID is the event's number. It is empty for comments behind the last event.
	ID string
	// Raw is the event as it came, with the comments before it.
	Raw []byte
}

// Stream reads the streamed response of a decode engine event by event.
type Stream interface {
	// Head returns the adapter's representation of status and headers.
	Head() any
	// Next returns the next event, io.EOF after the last event of a complete response,
	// or a *CallError. It blocks for at most the given duration.
	Next(wait time.Duration) (Event, error)
	// Verified reports whether the process that responds is known to be the upstream's.
	Verified() bool
	// Unframed reports that the response has neither a length nor chunks and ends with its
	// connection, as it also does if the upstream's process ends.
	Unframed() bool
	// Close releases the stream. An unfinished stream is cancelled on the engine.
	Close()
}

// Effect says what is known about the execution of a request whose call failed.
type Effect int

// Effects of failed calls.
const (
	// EffectUnknown means that the request may have run.
	EffectUnknown Effect = iota
	// EffectNotSent means that no byte of the request left this host.
	EffectNotSent
	// EffectRejected means that the upstream reported that it did not run the request.
	EffectRejected
)

// CallError is the error of a call to an upstream that got no response.
type CallError struct {
	Effect Effect
	// Misdirected means that another process now has the upstream's address.
	Misdirected bool
	// ConnectionLost means that the upstream closed or reset the connection before its
	// response was complete. It did so if its process ended.
	ConnectionLost bool
	// Rests means that the upstream rejected the call because it wants no requests for a while.
	Rests bool
	Err   error
}

// NotDelivered reports whether the request did not reach the intended upstream.
func (e *CallError) NotDelivered() bool { return e.Effect == EffectNotSent || e.Misdirected }

// Error implements error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Upstreams sends requests to upstreams. Cancelling the context of a call aborts it
// and cancels its work on the upstream.
type Upstreams interface {
	// Connected reports whether there is an idle connection to an upstream. Opening a
	// new one is expensive.
	Connected(up *Upstream) bool
	// Listening reports whether a process accepts connections at the address of an
	// upstream. An error means that it is not known. It blocks for a bounded time.
	Listening(ctx context.Context, up *Upstream) (bool, error)
	// Call sends a request to an upstream that is not an engine and returns its complete
	// response. Errors are *CallError.
	Call(ctx context.Context, up *Upstream, req *Request, remaining time.Duration) (*Answer, error)
	// Reserve reserves a slot and memory for tokens on a decode engine until ttl expires.
	Reserve(ctx context.Context, up *Upstream, tokens int, ttl time.Duration) (*Reservation, error)
	// Prefill runs the prompt of a request on a prefill engine.
	Prefill(ctx context.Context, up *Upstream, req *Request, opts SendOptions) (*Prompt, error)
	// Stream starts a generation on a decode engine.
	Stream(ctx context.Context, up *Upstream, req *Request, opts SendOptions) (Stream, error)
	// ReleaseReservation releases a reservation and waits for a bounded time until the
	// engine confirms it. A reservation that is not released expires.
	ReleaseReservation(ctx context.Context, r *Reservation)
	// ReleasePrompt frees an unused prefilled prompt. It does not block.
	ReleasePrompt(p *Prompt)
}

// Caller receives the response to one request.
type Caller interface {
	// Answer sends a complete response.
	Answer(a *Answer)
	// Refuse sends a refusal.
	Refuse(r *domain.Refusal)
	// Start sends the status and headers of a stream.
	Start(head any)
	// Event sends an event. An error means that the caller has disconnected.
	Event(e Event) error
	// Used states what the request has used. It is called before the head of the response to
	// another host that passed the request on.
	Used(u Usage)
	// Abort terminates a started stream in such a way that the caller does not take it
	// for a complete response.
	Abort()
}

// Usage is what one request of a caller has used, at all hosts that it was passed on to.
type Usage struct {
	// Processes holds the names of the processes that may have received it, as
	// Incarnation.String returns them.
	Processes []string
	// Prompted says that its prompt was sent to a prefill engine. Further such calls are retries.
	Prompted bool
	// Counted says that a host counted it for the retry budget.
	Counted bool
}

// Grant is what a host may do with a request that another host passes on to it.
type Grant struct {
	// Service is the service that was chosen for the request.
	Service ServiceName
	// Upstreams is the number of processes that it may be sent to beyond those of its Usage.
	Upstreams int
}

// Hop states how a request came from another host.
type Hop struct {
	// Version is the version of the configuration at the other host.
	Version domain.Revision
	// Usage is what the request has used before.
	Usage
	// Grant is nil for hosts of a release that knows no grants. Such a host neither states nor
	// hears of processes that the request was sent to.
	Grant *Grant
	// Customers means that the configuration at the other host has customers. Customer is the
	// name of the request's, empty if it has none, and CustomerMAC its Config.HopMAC.
	Customers   bool
	Customer    CustomerName
	CustomerMAC []byte
}

// HopOptions are the options of a request that is passed on to another host.
type HopOptions struct {
	Hop
	// Remaining is the time remaining until the caller's deadline.
	Remaining time.Duration
	// LastEventID and Resumes are those of a stream that goes on.
	LastEventID, Resumes string
}

// HopResponse is the response of another host: a complete one, which may be that host's own
// refusal, or a stream.
type HopResponse struct {
	Answer *Answer
	// Refused says that Answer is the other host's own, NotRun that it promises that the request
	// did not run there.
	Refused, NotRun bool
	Stream          Stream
	// Usage is what the request has used, as far as the other host states it. It may be set
	// beside an error, and is nil if the host knows no grants.
	Usage *Usage
}

// Hops passes requests on to other hosts. Errors are *CallError; EffectRejected means that the
// other host cannot serve the request either. A request with a grant is declined by a host that
// knows none.
type Hops interface {
	Pass(ctx context.Context, host domain.HostID, req *Request, opts HopOptions) (HopResponse, error)
}
