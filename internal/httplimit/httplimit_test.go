package httplimit_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"greengagespoke/internal/endless"
	"greengagespoke/internal/httplimit"
)

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
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 16<<10)},
		"headers":           {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: x\r\n", 1<<10)},
		"one header":        {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 16<<10)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := endless.Serve(t, c.prefix, c.repeated)
			if resp, err := open(t, address); err == nil {
				_ = resp.Body.Close()
				t.Error("no error")
			}
			if n := accepted.Load(); n > endless.MaxKernelBytes {
				t.Errorf("%d bytes accepted, want at most %d", n, endless.MaxKernelBytes)
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
		address, _ := endless.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body), "")
		got, err := get(address)
		if errors.Is(err, httplimit.ErrBodyTooLarge) != tooLarge || !tooLarge && !bytes.Equal(got, []byte(body)) {
			t.Errorf("body of %d bytes: %d bytes read, error %v", size, len(got), err)
		}
	}
	address, _ := endless.Serve(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096))
	if _, err := get(address); !errors.Is(err, httplimit.ErrBodyTooLarge) {
		t.Errorf("endless body: error %v, want ErrBodyTooLarge", err)
	}
}
