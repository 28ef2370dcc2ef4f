// Package servicehttp speaks to plain services over HTTP. A call is sent at most
// once: neither the client nor its transport repeats it.
package servicehttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// maxBody bounds the size of a request or an answer in bytes.
const maxBody = 16 << 20

// hopHeaders are meant for one connection only and are not passed on (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Client calls one service instance. It implements ports.Service.
type Client struct {
	base string
	http *http.Client
}

var _ ports.Service = (*Client)(nil)

// NewClient returns a client for a service instance that uses the transport.
func NewClient(up domain.Upstream, transport http.RoundTripper) *Client {
	client := &http.Client{
		Transport: transport,
		// A redirect is the caller's to follow.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{base: "http://" + up.Address, http: client}
}

// Call implements ports.Service. The request counts as sent as soon as there is
// a connection to send it on.
func (c *Client) Call(ctx context.Context, req ports.ServiceRequest) (ports.ServiceResponse, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Message: err.Error()}
	}
	resp, err := c.http.Do(out)
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: sent.Load(), Message: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Message: err.Error()}
	}
	if len(body) > maxBody {
		message := fmt.Sprintf("the answer is larger than %d bytes", maxBody)
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Message: message}
	}
	header := resp.Header.Clone()
	dropHopHeaders(header)
	return ports.ServiceResponse{Status: resp.StatusCode, Header: header, Body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, req ports.ServiceRequest) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, c.base+req.Path, nil)
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		out.Header = req.Header.Clone()
	}
	dropHopHeaders(out.Header)
	sendOnce(out, req.Body)
	return out, nil
}

// sendOnce sets the body so that http.Transport does not repeat the request when
// a reused connection breaks: it repeats requests that it can rewind and that
// are idempotent by method or by an Idempotency-Key header.
func sendOnce(out *http.Request, body []byte) {
	hideIdempotencyKey(out.Header)
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
		out.ContentLength = int64(len(body))
		return
	}
	switch out.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		out.Body = http.NoBody
	default:
		// The transport finds out by reading that there is no body.
		out.Body = io.NopCloser(strings.NewReader(""))
	}
}

// hideIdempotencyKey writes the names of such headers in lower case. The header
// is the same for the service, but the transport does not look at it.
func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

func dropHopHeaders(header http.Header) {
	for _, field := range strings.Split(header.Get("Connection"), ",") {
		if name := strings.TrimSpace(field); name != "" {
			header.Del(name)
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
