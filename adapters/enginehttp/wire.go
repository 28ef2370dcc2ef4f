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

// Events of a decode stream. Frames have the default event type.
const (
	eventEnd   = "end"
	eventError = "error"
)

const (
	headerLastEventID = "Last-Event-ID"
	contentJSON       = "application/json"
	contentEvents     = "text/event-stream"
	// maxBody bounds the size of a request or an answer in bytes.
	maxBody = 64 << 20
)

// wireError is an engine error on the wire.
type wireError struct {
	Kind     ports.EngineErrorKind `json:"kind"`
	Upstream domain.UpstreamID     `json:"upstream"`
	Message  string                `json:"message"`
}

// cancelRequest names the attempt to end.
type cancelRequest struct {
	ID domain.AttemptID `json:"id"`
}

// exportRequest names the prefill result to fetch.
type exportRequest struct {
	Handle string `json:"handle"`
}

// statusOf maps the kinds of engine errors to HTTP status codes.
var statusOf = map[ports.EngineErrorKind]int{
	ports.EngineUnreachable:    http.StatusServiceUnavailable,
	ports.EngineFull:           http.StatusTooManyRequests,
	ports.EngineExpired:        http.StatusGone,
	ports.EngineStalled:        http.StatusGatewayTimeout,
	ports.EngineUnknownAttempt: http.StatusNotFound,
	ports.EngineFenced:         http.StatusPreconditionFailed,
	ports.EngineCanceled:       http.StatusConflict,
	ports.EngineInvalid:        http.StatusUnprocessableEntity,
}

// kindOf returns the error kind for a status code of an engine that sends no
// error body.
func kindOf(status int) ports.EngineErrorKind {
	for kind, code := range statusOf {
		if code == status {
			return kind
		}
	}
	if status >= http.StatusInternalServerError {
		return ports.EngineUnreachable
	}
	return ports.EngineInvalid
}

func toWire(err error) wireError {
	var e *ports.EngineError
	if errors.As(err, &e) {
		return wireError{Kind: e.Kind, Upstream: e.Upstream, Message: e.Message}
	}
	return wireError{Kind: ports.EngineUnreachable, Message: err.Error()}
}

func (w wireError) err() error {
	return &ports.EngineError{Kind: w.Kind, Upstream: w.Upstream, Message: w.Message}
}

// parseError reads an error body.
func parseError(body []byte) (wireError, bool) {
	var w wireError
	if err := json.Unmarshal(body, &w); err != nil || w.Kind == "" {
		return wireError{}, false
	}
	return w, true
}
