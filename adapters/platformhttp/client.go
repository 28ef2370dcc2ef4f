// Package platformhttp is the HTTP client of the platform's services. It speaks
// published formats: the JSON of the etcd v3 gateway to the table service, an
// S3-style API to the object store, and the JSON of Prometheus HTTP service
// discovery to the host list. Handler serves the same formats for a stand-in.
//
// Sources: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/,
// https://docs.aws.amazon.com/AmazonS3/latest/API/API_PutObject.html,
// https://prometheus.io/docs/prometheus/latest/http_sd/.
package platformhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/ports"
)

const (
	// DefaultTimeout bounds one call if the configuration has no timeout.
	DefaultTimeout = 10 * time.Second
	// maxAnswerBytes bounds the body of one response.
	maxAnswerBytes = 64 << 20
	// maxIdleConnsPerService bounds the idle connections kept open per service.
	maxIdleConnsPerService = 16
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout = 90 * time.Second
)

// Config holds the addresses of the services and the options of the client.
type Config struct {
	// TablesURL is the base URL of the table service: "http://10.0.0.5:2379".
	TablesURL string
	// ObjectsURL is the base URL of the object store and Bucket its bucket.
	ObjectsURL string
	Bucket     string
	// HostsURL is the full URL of the host list.
	HostsURL string
	// Token is sent as a bearer token if not empty.
	Token string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client to use; nil means a new one that keeps idle connections.
	HTTP *http.Client
}

// Client is a client of the platform. Tables, Objects and Hosts return its services.
type Client struct {
	cfg   Config
	http  *http.Client
	hosts hostCache
}

// ConfigError reports an invalid or missing configuration value.
type ConfigError struct {
	Key     string
	Message string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("platform setting %s: %s", e.Key, e.Message)
}

// New returns a client. It returns a *ConfigError if the configuration is invalid.
func New(cfg Config) (*Client, error) {
	for key, value := range map[string]string{"tables_url": cfg.TablesURL, "objects_url": cfg.ObjectsURL, "hosts_url": cfg.HostsURL} {
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, &ConfigError{Key: key, Message: fmt.Sprintf("%q is not an http or https URL; write one such as http://10.0.0.5:2379", value)}
		}
	}
	if cfg.Bucket == "" || strings.Contains(cfg.Bucket, "/") {
		return nil, &ConfigError{Key: "bucket", Message: fmt.Sprintf("%q is not a bucket name; write a name without slashes", cfg.Bucket)}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	client := cfg.HTTP
	if client == nil {
		client = &http.Client{Transport: httplimit.Transport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerService, IdleConnTimeout: idleConnTimeout})}
	}
	return &Client{cfg: cfg, http: client}, nil
}

// Tables returns the table service.
func (c *Client) Tables() ports.TableService { return tableClient{c} }

// Objects returns the object store.
func (c *Client) Objects() ports.ObjectStore { return objectClient{c} }

// Hosts returns the host list.
func (c *Client) Hosts() ports.HostList { return hostClient{c} }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// answer is a complete HTTP response.
type answer struct {
	status int
	etag   string
	body   []byte
}

// do sends one request and reads the complete response. The error is
// ports.ErrStoreDown if no connection was made, in which case nothing was sent, and
// ports.ErrStoreUnknown if the response was lost, in which case a write may have
// taken effect.
func (c *Client) do(ctx context.Context, method, address, contentType string, body []byte) (answer, error) {
	header := make(http.Header)
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return c.doWithHeader(ctx, method, address, header, body)
}

// doWithHeader is like do, but takes the request headers.
func (c *Client) doWithHeader(ctx context.Context, method, address string, header http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, address, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ports.ErrStoreDown, err)
	}
	req.Header = header
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return answer{}, fmt.Errorf("%w: %w", ports.ErrStoreDown, err)
		}
		return answer{}, fmt.Errorf("%w: %w", ports.ErrStoreUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(read) > maxAnswerBytes {
		return answer{}, fmt.Errorf("%w: answer cut short: %w", ports.ErrStoreUnknown, err)
	}
	return answer{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: read}, nil
}

// readError converts the ports.ErrStoreUnknown of a read into ports.ErrStoreDown, as a
// read whose response was lost has changed nothing.
func readError(err error) error {
	if errors.Is(err, ports.ErrStoreUnknown) {
		return fmt.Errorf("%w: %s", ports.ErrStoreDown, err.Error())
	}
	return err
}

// statusError converts an unsuccessful response into an error. After a server error
// a write may have taken effect, while a read has changed nothing.
func statusError(a answer, write bool) error {
	status := decodeGatewayStatus(a.body)
	switch {
	case a.status == http.StatusTooManyRequests:
		return ports.ErrStoreThrottled
	case a.status == http.StatusServiceUnavailable && status.Message == messageNoLeader:
		return ports.ErrStoreDown
	case a.status >= http.StatusInternalServerError && write:
		return fmt.Errorf("%w: status %d %s", ports.ErrStoreUnknown, a.status, status.Message)
	case a.status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d %s", ports.ErrStoreDown, a.status, status.Message)
	default:
		return &RequestError{Status: a.status, Message: status.Message}
	}
}

// RequestError means that a service rejected a request because of wrong credentials,
// a wrong address or a wrong format. The request had no effect.
type RequestError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("platform refused the request with status %d (%s); check the platform's URLs and token in the settings", e.Status, e.Message)
}
