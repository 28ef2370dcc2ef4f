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

// Client speaks to one engine. It implements ports.Engine.
type Client struct {
	upstream domain.UpstreamID
	base     string
	http     *http.Client
}

var _ ports.Engine = (*Client)(nil)

// NewClient returns a client for an engine. The HTTP client must have no overall
// timeout, as that would cut streams; calls are bounded by their contexts.
func NewClient(up domain.Upstream, client *http.Client) *Client {
	return &Client{upstream: up.ID, base: "http://" + up.Address, http: client}
}

// Prefill implements ports.Engine.
func (c *Client) Prefill(ctx context.Context, req ports.PrefillRequest) (ports.PrefillResult, error) {
	var res ports.PrefillResult
	err := c.post(ctx, pathPrefill, req, &res)
	return res, err
}

// Import implements ports.Engine. It fails with EngineStalled where ctx ends
// before the transfer.
func (c *Client) Import(ctx context.Context, req ports.ImportRequest) error {
	err := c.post(ctx, pathImport, req, nil)
	if err != nil && ctx.Err() != nil {
		return c.errorf(ports.EngineStalled, "the transfer from %s did not end in time", req.Source)
	}
	return err
}

// Decode implements ports.Engine. The stream outlives ctx and ends with Close.
func (c *Client) Decode(ctx context.Context, id domain.AttemptID, after int) (ports.FrameStream, error) {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, err := c.openStream(life, id, after)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+pathDecode+"?"+decodeQuery(id), nil)
	if err != nil {
		return nil, c.errorf(ports.EngineInvalid, "%v", err)
	}
	req.Header.Set("Accept", contentEvents)
	if after > 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(after))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.errorf(ports.EngineUnreachable, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.failure(resp)
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

// Export fetches a prefill result in the engine's own encoding.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return c.errorf(ports.EngineInvalid, "%v", err)
	}
	req.Header.Set("Content-Type", contentJSON)
	return c.do(req, result)
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
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
		return c.failure(resp)
	}
	if result == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(result)
	}
	if err != nil {
		return c.errorf(ports.EngineUnreachable, "the answer broke off: %v", err)
	}
	return nil
}

// failure reads the error of an answer that is not 200.
func (c *Client) failure(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if w, ok := parseError(body); ok {
		w.Upstream = c.upstream
		return w.err()
	}
	return c.errorf(kindOf(resp.StatusCode), "HTTP status %d", resp.StatusCode)
}

func (c *Client) errorf(kind ports.EngineErrorKind, format string, args ...any) error {
	return &ports.EngineError{Kind: kind, Upstream: c.upstream, Message: fmt.Sprintf(format, args...)}
}
