package httpwire

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Nothing of a malformed response is read, also not later, until another one is due.
func TestNothingIsReadOfAMalformedResponse(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 000 Zero\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: v\r\n"} {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, begin)
			_, _ = io.WriteString(far, "more")
			_ = far.Close()
		}()
		c := NewConn(near)
		if err := c.Expect(maxTestHead); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 100)
		for range 2 {
			if n, err := c.Read(buffer); n != 0 || !errors.Is(err, ErrMalformed) {
				t.Errorf("%q: %d bytes, error %v", begin, n, err)
			}
		}
		_ = near.Close()
	}
}

// What is read before a request is due has not been checked, and must not count as its response.
func TestBytesBeforeTheFirstRequestAreNoResponse(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.WriteString(far, "HTTP/1.1 000 Zero\r\n\r\n") }()
	c := NewConn(near)
	if _, err := io.ReadFull(c, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if err := c.Expect(maxTestHead); !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v, want ErrMalformed", err)
	}
}
