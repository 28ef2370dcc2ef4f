// Package servicehttp implements ports.Service over HTTP, for calls to plain
// services, and serves such a service over HTTP. The client sends each call at
// most once: neither it nor its transport retries a call.
package servicehttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/connloss"
	"greengagespoke/ports"
)

const (
	// maxBodyBytes limits the size of a request or response body.
	maxBodyBytes = 16 << 20
	// listenTimeout bounds the time that Listening takes.
	listenTimeout = 300 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Client calls one service instance. It implements ports.Service.
type Client struct {
	address string
	baseURL string
	http    *http.Client
}

var _ ports.Service = (*Client)(nil)

// NewClient returns a client that calls a service instance through the transport.
func NewClient(up domain.Upstream, transport http.RoundTripper) *Client {
	client := &http.Client{
		Transport: transport,
		// Redirects are returned to the caller, which decides whether to follow them.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{address: up.Address, baseURL: "http://" + up.Address, http: client}
}

// Call implements ports.Service. Errors are *ports.ServiceError. The request counts
// as sent as soon as a connection for it is available, even if writing it fails.
func (c *Client) Call(ctx context.Context, req ports.ServiceRequest) (ports.ServiceResponse, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Message: err.Error()}
	}
	resp, err := c.http.Do(out)
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: sent.Load(), Lost: sent.Load() && connloss.Lost(err), Message: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Lost: connloss.Lost(err), Message: err.Error()}
	}
	if len(body) > maxBodyBytes {
		message := fmt.Sprintf("the answer is larger than %d bytes", maxBodyBytes)
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Message: message}
	}
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	return ports.ServiceResponse{Status: resp.StatusCode, Header: header, Body: body}, nil
}

// Listening implements ports.Service.
func (c *Client) Listening(ctx context.Context) (bool, error) {
	dialer := net.Dialer{Timeout: listenTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if connloss.Refused(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_ = conn.Close() // Nothing was sent on it.
	return true, nil
}

func (c *Client) newRequest(ctx context.Context, req ports.ServiceRequest) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, c.baseURL+req.Path, nil)
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		out.Header = req.Header.Clone()
	}
	removeHopByHopHeaders(out.Header)
	setNonReplayableBody(out, req.Body)
	return out, nil
}

// setNonReplayableBody sets the body so that http.Transport does not retry the
// request when a reused connection breaks. The transport retries requests whose
// body it can rewind and that are idempotent by their method or by an
// Idempotency-Key header.
func setNonReplayableBody(out *http.Request, body []byte) {
	lowercaseIdempotencyKeys(out.Header)
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
		out.ContentLength = int64(len(body))
		return
	}
	switch out.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		out.Body = http.NoBody
	default:
		// The transport may retry requests of these methods if it knows that they
		// have no body. With this body it finds out only by reading.
		out.Body = io.NopCloser(strings.NewReader(""))
	}
}

// lowercaseIdempotencyKeys converts the names of idempotency key headers to lower
// case. For the service the header is the same, but the transport recognizes only
// the canonical name.
func lowercaseIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

func removeHopByHopHeaders(header http.Header) {
	for _, field := range strings.Split(header.Get("Connection"), ",") {
		if name := strings.TrimSpace(field); name != "" {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
