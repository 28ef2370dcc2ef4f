// Package abrupt serves responses before their requests have been read, and ends the connections
// in several ways, for tests of what clients take for a whole response.
package abrupt

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Ending is how a connection ends after its response.
type Ending string

// The endings. The response has not ended in order after the resets and CloseUnread.
const (
	// ResetAtOnce resets the connection right behind the last byte, which may not have left yet if
	// the response is long. ResetDelivered waits until the client's system has all, and ResetLater a
	// while longer.
	ResetAtOnce    Ending = "reset at once"
	ResetDelivered Ending = "reset when delivered"
	ResetLater     Ending = "reset later"
	// CloseUnread closes it with a part of the request unread, which resets it if the request has more
	// than some KB.
	CloseUnread Ending = "closed with unread data"
	// EndThenClose ends the response and closes the connection once that is delivered, EndThenHold
	// keeps it open for a while and does not read, and EndThenDrain reads the rest of the request.
	EndThenClose Ending = "ended, then closed"
	EndThenHold  Ending = "ended, then held"
	EndThenDrain Ending = "ended, then drained"
)

// Endings lists all endings, and whether the response has ended in order.
var Endings = map[Ending]bool{
	ResetAtOnce: false, ResetDelivered: false, ResetLater: false, CloseUnread: false,
	EndThenClose: true, EndThenHold: true, EndThenDrain: true,
}

const (
	// laterDelay is the time after which a client has read the response and still writes.
	laterDelay = 30 * time.Millisecond
	// maxDelivery bounds the wait for a client that does not read.
	maxDelivery = 10 * time.Second
	// readBufferBytes keeps the system from taking a long request into the connection's buffer.
	readBufferBytes = 32 << 10
)

// Serve responds to the head of the first request of each connection with the bytes that a function
// returns, and ends the connection.
func Serve(t *testing.T, respond func(r *http.Request) (string, Ending)) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		response, ending := respond(r)
		end(conn.(*net.TCPConn), response, ending)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// end sends a response and ends its connection.
func end(conn *net.TCPConn, response string, ending Ending) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(readBufferBytes)
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	if Endings[ending] {
		_ = conn.CloseWrite()
	}
	if ending != ResetAtOnce {
		awaitDelivered(conn)
	}
	switch ending {
	case ResetAtOnce, ResetDelivered:
		_ = conn.SetLinger(0)
	case ResetLater:
		time.Sleep(laterDelay)
		_ = conn.SetLinger(0)
	case EndThenHold:
		time.Sleep(laterDelay)
	case EndThenDrain:
		_, _ = io.Copy(io.Discard, conn)
	case CloseUnread:
		awaitUnread(conn)
	case EndThenClose:
	}
}

// awaitDelivered waits until the system of the client has all that was sent, awaitUnread until there is
// something that was not read.
func awaitDelivered(conn *net.TCPConn) {
	await(conn, unix.SIOCOUTQ, func(n int) bool { return n == 0 })
}

func awaitUnread(conn *net.TCPConn) { await(conn, unix.SIOCINQ, func(n int) bool { return n > 0 }) }

// await waits until the size of a queue of the connection meets a condition.
func await(conn *net.TCPConn, queue uint, met func(n int) bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for range int(maxDelivery / time.Millisecond) {
		size := 0
		_ = raw.Control(func(fd uintptr) { size, err = unix.IoctlGetInt(int(fd), queue) })
		if err != nil || met(size) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
