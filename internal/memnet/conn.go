package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is the number of bytes that one end may send before the other has read them.
const window = 256 << 10

// wire is what the two ends of a connection share.
type wire struct {
	mu sync.Mutex
	// changed is signaled after each change of an end.
	changed *sync.Cond
}

// conn is one end of a connection. All fields that change are guarded by the lock of the wire.
type conn struct {
	wire          *wire
	peer          *conn
	local, remote net.Addr
	// received holds what the peer has sent and this end has not read.
	received []byte
	// closed says that this end is closed, ended that it sends nothing more, broken that the peer has
	// reset the connection, and told that a read or write has returned that.
	closed, ended, broken, told bool
	// resets says that closing resets the connection.
	resets      bool
	read, write deadline
}

// deadline is the time by which reads or writes must be done.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set changes the deadline; changed is signaled when it has passed. The caller holds the lock.
func (d *deadline) set(at time.Time, w *wire) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at, d.timer = at, nil
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), w.signal)
	}
	w.changed.Broadcast()
}

func (w *wire) signal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changed.Broadcast()
}

// newConns returns the two ends of a new connection.
func newConns(near, far net.Addr) (a, b *conn) {
	w := &wire{}
	w.changed = sync.NewCond(&w.mu)
	a = &conn{wire: w, local: near, remote: far}
	b = &conn{wire: w, local: far, remote: near, peer: a}
	a.peer = b
	return a, b
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, failure("read", c.remote, net.ErrClosed)
		case c.read.passed():
			return 0, failure("read", c.remote, os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case len(c.received) > 0:
			n := copy(p, c.received)
			c.received = c.received[n:]
			c.wire.changed.Broadcast()
			return n, nil
		case c.breaks():
			return 0, failure("read", c.remote, syscall.ECONNRESET)
		case c.broken || c.peer.ended:
			return 0, io.EOF
		}
		c.wire.changed.Wait()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	for written := 0; ; {
		switch {
		case c.closed:
			return written, failure("write", c.remote, net.ErrClosed)
		case c.write.passed():
			return written, failure("write", c.remote, os.ErrDeadlineExceeded)
		case c.breaks():
			return written, failure("write", c.remote, syscall.ECONNRESET)
		case c.ended || c.broken || c.peer.closed:
			return written, failure("write", c.remote, syscall.EPIPE)
		}
		n := min(len(p)-written, window-len(c.peer.received))
		if n > 0 {
			c.peer.received = append(c.peer.received, p[written:written+n]...)
			written += n
			c.wire.changed.Broadcast()
		}
		if written == len(p) {
			return written, nil
		}
		c.wire.changed.Wait()
	}
}

// breaks reports whether this read or write is the one that is told of a reset. As with the kernel,
// later ones see the end of the data and EPIPE.
func (c *conn) breaks() bool {
	first := c.broken && !c.told
	c.told = c.told || first
	return first
}

// Close implements net.Conn. As with TCP, the peer sees a reset if this end has not read all, unless
// it had ended what it sends before.
func (c *conn) Close() error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	if c.closed {
		return failure("close", c.remote, net.ErrClosed)
	}
	c.peer.broken = c.peer.broken || !c.ended && (c.resets || len(c.received) > 0)
	c.closed, c.ended, c.received = true, true, nil
	c.read.set(time.Time{}, c.wire)
	c.write.set(time.Time{}, c.wire)
	return nil
}

// CloseWrite ends what this end sends; it still reads.
func (c *conn) CloseWrite() error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.ended = true
	c.wire.changed.Broadcast()
	return nil
}

// SetLinger makes Close reset the connection if the time is 0.
func (c *conn) SetLinger(seconds int) error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.resets = seconds == 0
	return nil
}

// OpenAndIdle reports whether the connection is open and has nothing to read.
func (c *conn) OpenAndIdle() bool {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	return !c.closed && !c.broken && !c.peer.ended && len(c.received) == 0
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error { return c.setDeadlines(at, &c.read, &c.write) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error { return c.setDeadlines(at, &c.read) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error { return c.setDeadlines(at, &c.write) }

func (c *conn) setDeadlines(at time.Time, deadlines ...*deadline) error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	if c.closed {
		return failure("set", c.remote, net.ErrClosed)
	}
	for _, d := range deadlines {
		d.set(at, c.wire)
	}
	return nil
}
