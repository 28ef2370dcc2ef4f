package enginehttp

import (
	"encoding/json"
	"errors"
	"net/http"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Paths of the engine API.
const (
	pathPrefill  = "/v1/prefill"
	pathImport   = "/v1/import"
	pathDecode   = "/v1/decode"
	pathCancel   = "/v1/cancel"
	pathAttempts = "/v1/attempts"
	pathLoad     = "/v1/load"
	pathEvents   = "/v1/cache-events"
	pathOrder    = "/v1/order"
	pathExport   = "/v1/export"
)

// Event types of a decode stream. Frames have the default event type.
const (
	eventEnd   = "end"
	eventError = "error"
)

const (
	headerLastEventID = "Last-Event-ID"
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	// maxBodyBytes limits the size of a request or response body.
	maxBodyBytes = 64 << 20
)

// wireError is the JSON encoding of a ports.EngineError.
type wireError struct {
	Kind     ports.EngineErrorKind `json:"kind"`
	Upstream domain.UpstreamID     `json:"upstream"`
	Message  string                `json:"message"`
}

// cancelRequest identifies the attempt to cancel.
type cancelRequest struct {
	ID domain.AttemptID `json:"id"`
}

// exportRequest identifies the prefill result to fetch.
type exportRequest struct {
	Handle string `json:"handle"`
}

// statusOfErrorKind maps the kinds of engine errors to HTTP status codes.
var statusOfErrorKind = map[ports.EngineErrorKind]int{
	ports.EngineUnreachable:    http.StatusServiceUnavailable,
	ports.EngineFull:           http.StatusTooManyRequests,
	ports.EngineExpired:        http.StatusGone,
	ports.EngineStalled:        http.StatusGatewayTimeout,
	ports.EngineUnknownAttempt: http.StatusNotFound,
	ports.EngineFenced:         http.StatusPreconditionFailed,
	ports.EngineCanceled:       http.StatusConflict,
	ports.EngineInvalid:        http.StatusUnprocessableEntity,
}

// errorKindOfStatus returns the error kind for the status code of a response
// without a valid error body.
func errorKindOfStatus(status int) ports.EngineErrorKind {
	for kind, code := range statusOfErrorKind {
		if code == status {
			return kind
		}
	}
	if status >= http.StatusInternalServerError {
		return ports.EngineUnreachable
	}
	return ports.EngineInvalid
}

func toWireError(err error) wireError {
	var e *ports.EngineError
	if errors.As(err, &e) {
		return wireError{Kind: e.Kind, Upstream: e.Upstream, Message: e.Message}
	}
	return wireError{Kind: ports.EngineUnreachable, Message: err.Error()}
}

func (w wireError) engineError() error {
	return &ports.EngineError{Kind: w.Kind, Upstream: w.Upstream, Message: w.Message}
}

// parseError decodes an error body. It returns false if the body is not an encoded
// engine error.
func parseError(body []byte) (wireError, bool) {
	var w wireError
	if err := json.Unmarshal(body, &w); err != nil || w.Kind == "" {
		return wireError{}, false
	}
	return w, true
}
