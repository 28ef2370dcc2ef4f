package gateclient

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// send sends a request and returns the response as soon as its headers have arrived.
// The error is an *UnreachableError that says whether the request may have been sent.
func (c *Client) send(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{Address: req.URL.Host, Sent: connected.Load(), Err: err}
	}
	return resp, nil
}
