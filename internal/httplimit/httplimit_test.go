package httplimit_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"greengagespoke/internal/httplimit"
)

// rawServer answers each connection with a text and then with another one again and again,
// until the client closes it. accepted counts the bytes that it wrote.
func rawServer(t *testing.T, prefix, repeated string) (address string, accepted *atomic.Int64) {
	t.Helper()
	const stopAfter = 64 << 20
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
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				n, err := io.WriteString(conn, prefix)
				for err == nil && repeated != "" && accepted.Add(int64(n)) < stopAfter {
					n, err = io.WriteString(conn, repeated)
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

func open(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	return (&http.Client{Transport: httplimit.Transport(&http.Transport{})}).Do(req)
}

// Heads and interim responses that never end must be given up after the limit.
func TestEndlessHead(t *testing.T) {
	// The kernel accepts some megabytes that the client does not read.
	const maxAccepted = 12 << 20
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 16<<10)},
		"headers":           {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: x\r\n", 1<<10)},
		"one header":        {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 16<<10)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := rawServer(t, c.prefix, c.repeated)
			if resp, err := open(t, address); err == nil {
				_ = resp.Body.Close()
				t.Error("no error")
			}
			if n := accepted.Load(); n > maxAccepted {
				t.Errorf("%d bytes accepted, want at most %d", n, maxAccepted)
			}
		})
	}
}

// A body of the allowed size passes, a larger one fails, whether it ends or not.
func TestBodyLimit(t *testing.T) {
	const limit = 1000
	get := func(address string) ([]byte, error) {
		resp, err := open(t, address)
		if err != nil {
			return nil, err
		}
		body := httplimit.Body(resp.Body, limit)
		defer func() { _ = body.Close() }()
		return io.ReadAll(body)
	}
	for size, tooLarge := range map[int]bool{0: false, limit: false, limit + 1: true, 50 * limit: true} {
		body := strings.Repeat("x", size)
		address, _ := rawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body), "")
		got, err := get(address)
		if errors.Is(err, httplimit.ErrBodyTooLarge) != tooLarge || !tooLarge && !bytes.Equal(got, []byte(body)) {
			t.Errorf("body of %d bytes: %d bytes read, error %v", size, len(got), err)
		}
	}
	address, _ := rawServer(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096))
	if _, err := get(address); !errors.Is(err, httplimit.ErrBodyTooLarge) {
		t.Errorf("endless body: error %v, want ErrBodyTooLarge", err)
	}
}
