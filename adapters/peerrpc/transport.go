package peerrpc

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"greengagespoke/internal/httplimit"
)

const (
	// idleConnTimeout closes unused connections to peers, so that a host in a large
	// fleet does not keep a connection to every other host.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerHost limits the idle connections to one peer.
	maxIdleConnsPerHost = 4
	// maxResponseBytes bounds the response of a peer: a full copy of a table, or of the
	// configuration.
	maxResponseBytes = 16 << 20
)

// newDefaultHTTPClient returns a client for connections between hosts. It ignores
// proxy settings from the environment.
func newDefaultHTTPClient() *http.Client {
	return &http.Client{Transport: httplimit.Transport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})}
}

// signingClient signs and counts the requests of the generated twirp clients, and limits
// their responses.
type signingClient struct {
	http    *http.Client
	auth    *authenticator
	traffic *traffic
}

// Do implements the generated HTTPClient interface.
func (c *signingClient) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	trimHeaders(r.Header)
	setTimeoutHeader(r)
	c.auth.sign(r, body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	resp, err := c.http.Do(r)
	if err != nil {
		c.traffic.unreachable.Add(1)
		return nil, err
	}
	c.count(r, len(body), resp)
	resp.Body = httplimit.Body(resp.Body, maxResponseBytes)
	return resp, nil
}

// trimHeaders removes headers that peers do not use, because they would make up
// most of the size of a typical message between hosts.
func trimHeaders(h http.Header) {
	h.Del("Accept")
	h.Del("Twirp-Version")
	// An empty value keeps net/http from adding its own.
	h.Set("User-Agent", "")
}

// setTimeoutHeader sends the time until the context's deadline to the other host.
func setTimeoutHeader(r *http.Request) {
	deadline, ok := r.Context().Deadline()
	if !ok {
		return
	}
	remaining := time.Until(deadline)
	r.Header.Set(timeoutHeader, strconv.FormatInt(remaining.Microseconds(), 10))
}

// count adds a request and its response to the counters.
func (c *signingClient) count(r *http.Request, body int, resp *http.Response) {
	name, ok := serviceOf(r.URL.Path)
	if !ok {
		return
	}
	length := max(0, int(resp.ContentLength))
	c.traffic.byService[name].sent(requestSize(r, body))
	c.traffic.byService[name].received(responseSize(resp.StatusCode, resp.Header, length))
}
