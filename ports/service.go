package ports

import (
	"context"
	"net/http"
)

// Service is one plain service instance.
type Service interface {
	// Call sends one request. An error means that no whole answer arrived; it is
	// a *ServiceError that says whether the request may have run.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
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

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// ServiceError is a failed service call.
type ServiceError struct {
	// Sent says that at least one byte of the request may have left the host.
	Sent    bool
	Message string
}

// Error implements error.
func (e *ServiceError) Error() string {
	return "service call: " + e.Message
}
