// Package httplimit bounds what HTTP clients read of a response, so that a server that
// sends bytes without end cannot exhaust the memory of its client, and gives them only
// responses that HTTP allows. The time is bounded by the context of each call.
package httplimit

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"greengagespoke/internal/httpwire"
)

// MaxHeaderBytes bounds the head of a response together with the interim responses before
// it.
const MaxHeaderBytes = 64 << 10

// ErrBodyTooLarge is the error of reading a response body beyond its limit.
var ErrBodyTooLarge = errors.New("the response body is too large; check what listens at the server's address")

// RoundTripper is a transport whose responses are limited and checked.
type RoundTripper struct{ *http.Transport }

// Transport limits and checks the heads of the responses that a transport reads.
func Transport(t *http.Transport) *RoundTripper {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return httpwire.NewConn(conn), nil
	}
	return &RoundTripper{t}
}

// RoundTrip implements http.RoundTripper. Below TLS the bytes of a head are not seen, so that only
// what net/http returns of it is checked.
func (t *RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	var unasked error
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*httpwire.Conn); ok {
			unasked = conn.Expect(MaxHeaderBytes)
			conn.WithholdErrors()
		}
	}})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	resp.Request = req
	if err := cmp.Or(unasked, httpwire.Check(resp)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// Body returns a response body that fails with ErrBodyTooLarge once more than maxBytes are
// read.
func Body(body io.ReadCloser, maxBytes int64) io.ReadCloser {
	return &limitedBody{ReadCloser: body, left: maxBytes}
}

// limitedBody implements Body. left is the number of bytes that may still be read.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	// One byte more than is left tells a body of the allowed size from a larger one.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if int64(n) > b.left {
		n = int(b.left)
		b.left = 0
		return n, ErrBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}
