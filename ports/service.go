package ports

import (
	"context"
	"net/http"
)

// Service is the client of one plain service instance.
type Service interface {
	// Call sends one request. An error means that no complete response arrived;
	// it is a *ServiceError, which states whether the request may have been
	// executed.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	// Listening reports whether a process accepts connections at the instance's address.
	// An error means that it is not known. It blocks for a bounded time.
	Listening(ctx context.Context) (bool, error)
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Query is the raw query string, without the question mark.
	Query  string      `json:"query,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// ServiceError is a failed service call.
type ServiceError struct {
	// Sent reports that at least one byte of the request may have left the host.
	// If it is false, the request was not executed.
	Sent bool
	// Lost reports that the instance closed or reset the connection before its response
	// was complete. It does so if its process ends.
	Lost    bool
	Message string
}

// Error implements error.
func (e *ServiceError) Error() string {
	return "service call: " + e.Message
}
