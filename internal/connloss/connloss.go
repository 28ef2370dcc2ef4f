// Package connloss interprets the errors of connections to upstreams.
package connloss

import (
	"errors"
	"io"
	"syscall"
)

// Lost reports whether an error means that the peer closed or reset the connection. It
// does so if its process ends.
func Lost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether an error means that nothing listens at the peer's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
