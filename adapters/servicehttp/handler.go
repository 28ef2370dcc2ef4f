package servicehttp

import (
	"errors"
	"io"
	"net/http"

	"greengagespoke/ports"
)

// Handler serves a service over HTTP. If a call fails with a *ports.ServiceError,
// the handler aborts the connection, as a crashing service would.
func Handler(service ports.Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		req := ports.ServiceRequest{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body}
		resp, err := service.Call(r.Context(), req)
		if err != nil {
			abortConnection(w, err)
			return
		}
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.Status)
		_, _ = w.Write(resp.Body)
	})
}

func abortConnection(w http.ResponseWriter, err error) {
	var e *ports.ServiceError
	if errors.As(err, &e) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}
