// Package httplimit bounds what HTTP clients read of a response, so that a server that
// sends bytes without end cannot exhaust the memory of its client. The time is bounded by
// the context of each call.
package httplimit

import (
	"errors"
	"io"
	"net/http"
)

// MaxHeaderBytes bounds the head of a response together with the interim responses before
// it.
const MaxHeaderBytes = 64 << 10

// ErrBodyTooLarge is the error of reading a response body beyond its limit.
var ErrBodyTooLarge = errors.New("the response body is too large; check what listens at the server's address")

// Transport limits the heads of the responses that a transport reads, and returns it.
func Transport(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return t
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
