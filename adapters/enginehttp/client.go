package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Client calls one engine over HTTP. It implements ports.Engine. Errors of
// its methods are *ports.EngineError.
type Client struct {
	upstream domain.UpstreamID
	baseURL  string
	http     *http.Client
}

var _ ports.Engine = (*Client)(nil)

// NewClient returns a client for an engine. The HTTP client must not have an
// overall timeout, because it would interrupt streams; the context of each call
// limits its duration.
func NewClient(up domain.Upstream, client *http.Client) *Client {
	return &Client{upstream: up.ID, baseURL: "http://" + up.Address, http: client}
}

// Prefill implements ports.Engine.
func (c *Client) Prefill(ctx context.Context, req ports.PrefillRequest) (ports.PrefillResult, error) {
	var res ports.PrefillResult
	err := c.post(ctx, pathPrefill, req, &res)
	return res, err
}

// Import implements ports.Engine. It fails with EngineStalled if ctx ends before
// the transfer is complete.
func (c *Client) Import(ctx context.Context, req ports.ImportRequest) error {
	err := c.post(ctx, pathImport, req, nil)
	if err != nil && ctx.Err() != nil {
		return c.errorf(ports.EngineStalled, "the transfer from %s did not end in time", req.Source)
	}
	return err
}

// Decode implements ports.Engine. The end of ctx aborts only the opening of the
// stream; an open stream stays usable until Close.
func (c *Client) Decode(ctx context.Context, id domain.AttemptID, after int) (ports.FrameStream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, err := c.openStream(streamCtx, id, after)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stop() {
		cancel()
		_ = resp.Body.Close()
		return nil, c.errorf(ports.EngineUnreachable, "no answer in time: %v", ctx.Err())
	}
	return newStream(c, resp.Body, cancel), nil
}

func (c *Client) openStream(ctx context.Context, id domain.AttemptID, after int) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+pathDecode+"?"+decodeQuery(id), nil)
	if err != nil {
		return nil, c.errorf(ports.EngineInvalid, "%v", err)
	}
	req.Header.Set("Accept", contentTypeEvents)
	if after > 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(after))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.errorf(ports.EngineUnreachable, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.responseError(resp)
	}
	return resp, nil
}

// Cancel implements ports.Engine.
func (c *Client) Cancel(ctx context.Context, id domain.AttemptID) error {
	return c.post(ctx, pathCancel, cancelRequest{ID: id}, nil)
}

// List implements ports.Engine.
func (c *Client) List(ctx context.Context) ([]ports.Running, error) {
	var list []ports.Running
	err := c.get(ctx, pathAttempts, &list)
	return list, err
}

// Load implements ports.Engine.
func (c *Client) Load(ctx context.Context) (ports.Load, error) {
	var load ports.Load
	err := c.get(ctx, pathLoad, &load)
	return load, err
}

// CacheEvents implements ports.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	err := c.get(ctx, pathEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// Order implements ports.Engine.
func (c *Client) Order(ctx context.Context, order ports.Order) error {
	return c.post(ctx, pathOrder, order, nil)
}

// Export fetches a prefill result in the engine's own encoding. The engine frees
// the result.
func (c *Client) Export(ctx context.Context, handle string) ([]byte, error) {
	var data []byte
	err := c.post(ctx, pathExport, exportRequest{Handle: handle}, &data)
	return data, err
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return c.errorf(ports.EngineInvalid, "%v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return c.errorf(ports.EngineInvalid, "%v", err)
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	return c.do(req, result)
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return c.errorf(ports.EngineInvalid, "%v", err)
	}
	return c.do(req, result)
}

func (c *Client) do(req *http.Request, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return c.errorf(ports.EngineUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.responseError(resp)
	}
	// The end of the body is read too, as only then the response is known to be whole.
	if result == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	} else {
		var body []byte
		if body, err = readBody(resp); err == nil {
			err = json.Unmarshal(body, result)
		}
	}
	if err != nil {
		return c.errorf(ports.EngineUnreachable, "the answer broke off: %v", err)
	}
	return nil
}

func readBody(resp *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
}

// responseError returns the error of a response whose status is not 200.
func (c *Client) responseError(resp *http.Response) error {
	body, err := readBody(resp)
	if err != nil {
		return c.errorf(ports.EngineUnreachable, "the answer with HTTP status %d broke off: %v", resp.StatusCode, err)
	}
	if w, ok := parseError(body); ok {
		w.Upstream = c.upstream
		return w.engineError()
	}
	return c.errorf(errorKindOfStatus(resp.StatusCode), "HTTP status %d", resp.StatusCode)
}

func (c *Client) errorf(kind ports.EngineErrorKind, format string, args ...any) error {
	return &ports.EngineError{Kind: kind, Upstream: c.upstream, Message: fmt.Sprintf(format, args...)}
}
