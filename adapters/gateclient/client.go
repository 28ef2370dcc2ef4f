package gateclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
)

// Headers of requests to entry hosts.
const (
	headerCaller         = "X-Caller"
	headerRequestID      = "X-Request-Id"
	headerAttempt        = "X-Request-Attempt"
	headerLastEventID    = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxAnswerBytes bounds the body of a response that is not streamed.
const maxAnswerBytes = 64 << 20

// Config holds the hosts that a client calls and the caller's identity.
type Config struct {
	// Hosts are entry hosts to ask for addresses, each as IP:PORT or as a base
	// URL. At least one is required.
	Hosts []string
	// Token is sent as a bearer token if not empty.
	Token string
	// Caller is the caller name to send to hosts that do not authenticate callers.
	Caller domain.CallerID
	// Zone is the caller's availability zone; if empty, the zone of the asked host
	// is used.
	Zone domain.Zone
	// HTTP is the client to use; nil means a new one.
	HTTP *http.Client
}

// Client calls entry hosts on behalf of one caller.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, http: cfg.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: httplimit.Transport(http.DefaultTransport.(*http.Transport).Clone())}
	}
	return c
}

// UnreachableError means that a host sent no complete response.
type UnreachableError struct {
	Address string
	// Sent reports whether the request may have reached the host.
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check the address, or use another host", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// baseURL returns the base URL of a host given as IP:PORT or as a URL.
func baseURL(host string) string {
	if strings.Contains(host, "://") {
		return strings.TrimSuffix(host, "/")
	}
	return "http://" + host
}

// baseURLWithScheme returns the base URL of an address with the scheme of host.
func baseURLWithScheme(host, address string) string {
	u, err := url.Parse(baseURL(host))
	if err != nil {
		return baseURL(address)
	}
	return u.Scheme + "://" + address
}

// request builds a request with the caller's credentials.
func (c *Client) request(ctx context.Context, method, base, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("bad address or path: %w", err)
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	if c.cfg.Caller != "" {
		req.Header.Set(headerCaller, string(c.cfg.Caller))
	}
	return req, nil
}

// getJSON fetches a JSON document from one host and decodes it.
func (c *Client) getJSON(ctx context.Context, base, path string, into any) error {
	req, err := c.request(ctx, http.MethodGet, base, path, nil)
	if err != nil {
		return err
	}
	// A read has no effect on the host, so its errors leave Sent false.
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Address: req.URL.Host, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &UnreachableError{Address: req.URL.Host, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return refusalFromResponse(resp, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("unreadable answer of %s: %w; check that it is an entry host", req.URL.Host, err)
	}
	return nil
}

// refusalBody is the JSON encoding of a refusal.
type refusalBody struct {
	Error struct {
		Kind         domain.RefusalKind `json:"kind"`
		Message      string             `json:"message"`
		Remedy       string             `json:"remedy"`
		Ran          domain.Ran         `json:"ran"`
		RetryAfterMS int64              `json:"retry_after_ms"`
	} `json:"error"`
}

// refusalFromResponse converts an unsuccessful response into a *domain.Refusal.
func refusalFromResponse(resp *http.Response, data []byte) error {
	if refusal, ok := decodeRefusal(data); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalInternal, "status "+strconv.Itoa(resp.StatusCode)+" from "+resp.Request.URL.Host,
		"check that it is an entry host").WithRan(domain.RanUnknown)
}

func decodeRefusal(data []byte) (*domain.Refusal, bool) {
	var body refusalBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		return nil, false
	}
	return &domain.Refusal{
		Kind:       body.Error.Kind,
		Message:    body.Error.Message,
		Remedy:     body.Error.Remedy,
		Ran:        body.Error.Ran,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}, true
}
