package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is the client's end of a connection that carries one request at a time.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// head is that of the response that is due, or nil.
	head *head
	// expected says that a response has been due, unasked that bytes came before.
	expected, unasked bool

	// writing is held while a part of a request is written. It guards writeErr, the first error of that.
	writing  sync.Mutex
	writeErr error
	// upload says which errors of writing a request are withheld.
	upload atomic.Int32
}

// The states of Conn.upload: none are withheld, those behind the first part will be, and are.
const (
	uploadReported int32 = iota
	uploadDue
	uploadBegun
)

// NewConn returns the client's end of a connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Expect says that the bytes which are read next are a response, whose heads may have so many
// bytes. It is called before each request. It returns an error if bytes were read before the first
// one, which have not been checked: they are no response to it.
func (c *Conn) Expect(maxHeadBytes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.expected = &head{left: maxHeadBytes}, true
	if c.unasked {
		return malformed("it came before the request")
	}
	return nil
}

// WithholdErrors leaves the errors of writing the next request to the reads, if its first part can be
// written. A client that gives a connection up when a write fails would lose a response that came
// before the server stopped reading the request.
func (c *Conn) WithholdErrors() { c.upload.Store(uploadDue) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	err = c.write(func() error {
		n, err = c.Conn.Write(p)
		return err
	})
	if c.upload.CompareAndSwap(uploadDue, uploadBegun) || err == nil || c.upload.Load() != uploadBegun {
		return n, err
	}
	return len(p), nil
}

// WriteBuffers writes several buffers at once.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	return c.write(func() error {
		_, err := buffers.WriteTo(c.Conn)
		return err
	})
}

func (c *Conn) write(write func() error) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		c.writeErr = write()
	}
	return c.writeErr
}

// Read implements net.Conn. It returns nothing of a response whose head is malformed, and io.EOF
// only if the server has ended the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if checkErr := c.check(p[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		c.unasked = c.unasked || !c.expected && len(p) > 0
		return nil
	}
	err := c.head.check(p)
	if c.head.ended {
		c.head = nil
	}
	return err
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// endError returns the error for the end of what the server sent. The kernel reports a reset once, to
// the read or the write that asks first, and ends the data for the other one. A write under way is
// ended, so that it returns the reset if it was told of one; the request is of no use after the end of
// the response. EPIPE means that the server had ended the connection in order before, whatever came
// then.
func (c *Conn) endError() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(past) // Fails only if the connection is closed, which ends the write too.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	err := c.writeErr
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("the connection broke while the request was written: %w", err)
}
