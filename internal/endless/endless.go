// Package endless serves responses that never end, for tests of what clients read.
package endless

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
)

const (
	// MaxKernelBytes is what the buffers of a loopback connection hold at most of a
	// response that its client does not read.
	MaxKernelBytes = 12 << 20
	// stopBytes ends a response whose client reads on and on.
	stopBytes = 256 << 20
	// requestBytes is the largest request that is read before the response.
	requestBytes = 4096
)

// Serve answers the first request of each connection with a prefix and then the same text
// again and again, until the client closes it; if the text is empty, it closes the
// connection after the prefix. accepted counts the bytes that it could write.
func Serve(t *testing.T, prefix, repeated string) (address string, accepted *atomic.Int64) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go respond(conn, prefix, repeated, accepted)
		}
	}()
	return l.Addr().String(), accepted
}

func respond(conn net.Conn, prefix, repeated string, accepted *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, requestBytes)); err != nil {
		return
	}
	n, err := io.WriteString(conn, prefix)
	for err == nil && repeated != "" && accepted.Add(int64(n)) < stopBytes {
		n, err = io.WriteString(conn, repeated)
	}
}
