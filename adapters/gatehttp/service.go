package gatehttp

import (
	"io"
	"net/http"
	"strconv"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
)

// HeaderIdempotencyKey identifies a non-idempotent call, so that it runs at most
// once even if it is sent several times.
const HeaderIdempotencyKey = "Idempotency-Key"

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, HeaderRequestID}

// service forwards a call to the plain service whose route matches the path.
func (s *server) service(w http.ResponseWriter, r *http.Request, caller domain.CallerID) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, err)
		return
	}
	attempt, err := positiveIntHeader(r, HeaderRequestAttempt, 1)
	if err != nil {
		writeError(w, err)
		return
	}
	resp, err := s.cfg.Gate.CallService(r.Context(), routing.ServiceCall{
		Caller:         caller,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Attempt:        attempt,
		Request: ports.ServiceRequest{
			Method: r.Method,
			Path:   r.URL.Path,
			Query:  r.URL.RawQuery,
			Header: serviceHeader(r, caller),
			Body:   body,
		},
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeServiceResponse(w, resp)
}

func serviceHeader(r *http.Request, caller domain.CallerID) http.Header {
	h := make(http.Header)
	for _, name := range forwardedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			h[http.CanonicalHeaderKey(name)] = values
		}
	}
	h.Set(HeaderCaller, string(caller))
	return h
}

func writeServiceResponse(w http.ResponseWriter, resp ports.ServiceResponse) {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	if len(resp.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
