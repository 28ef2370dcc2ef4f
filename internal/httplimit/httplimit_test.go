package httplimit_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"greengagespoke/internal/abrupt"
	"greengagespoke/internal/endless"
	"greengagespoke/internal/httplimit"
	"greengagespoke/internal/httpwire"
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

// malformedHeads are heads that HTTP does not allow.
var malformedHeads = []string{
	"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX: v\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}",
}

// Reported by operators: clients got what was no response of HTTP. It is an error on a new connection
// and on one that was used before.
func TestMalformedResponses(t *testing.T) {
	for _, head := range malformedHeads {
		for sound := range 2 {
			client := &http.Client{Transport: httplimit.Transport(&http.Transport{})}
			address := serveAfter(t, sound, head)
			for i := range sound + 1 {
				resp, err := client.Post("http://"+address, "", strings.NewReader("x")) //nolint:noctx // A call in a test needs no context.
				if (i == sound) != errors.Is(err, httpwire.ErrMalformed) {
					t.Errorf("response %d before %q: error %v", i, head, err)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
			client.CloseIdleConnections()
		}
	}
}

// serveAfter responds to a number of requests soundly, then to one with the given bytes.
func serveAfter(t *testing.T, sound int, response string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if sound--; sound >= 0 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Trailers that HTTP does not allow end a body with an error.
func TestMalformedTrailers(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X Announced\r\n\r\n2\r\n{}\r\n0\r\n"
	for trailers, want := range map[string]error{"X-Sum: 1\r\n": nil, "": nil, "X Odd: 1\r\n": httpwire.ErrMalformed} {
		resp, err := open(t, serveAfter(t, 0, response+trailers+"\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); !errors.Is(err, want) || string(text) != "{}" {
			t.Errorf("%q: body %q, error %v, want %v", trailers, text, err, want)
		}
		_ = resp.Body.Close()
	}
}

// Below TLS the bytes of a head are not seen, but what net/http returns of it is checked.
func TestMalformedResponseOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(777) }))
	t.Cleanup(server.Close)
	settings := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: httplimit.Transport(&http.Transport{TLSClientConfig: settings})}
	resp, err := client.Get(server.URL) //nolint:noctx // A call in a test needs no context.
	if err == nil {
		_ = resp.Body.Close()
	}
	if !errors.Is(err, httpwire.ErrMalformed) {
		t.Errorf("error %v, want ErrMalformed", err)
	}
}

// Reported by operators: a server responded to a long upload at once, without a length, sent a part of
// the body and reset the connection while the upload was being written. The part was taken for the whole.
// A response that is known to be whole is delivered, whatever becomes of the upload.
func TestEarlyResponses(t *testing.T) {
	client := &http.Client{Transport: httplimit.Transport(&http.Transport{DisableKeepAlives: true})}
	for framing, response := range map[string]string{
		"length": "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks": "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"none":   "HTTP/1.1 413 Too Large\r\n\r\nwhole",
		"silent": "",
	} {
		for ending, inOrder := range abrupt.Endings {
			t.Run(framing+", "+string(ending), func(t *testing.T) {
				t.Parallel()
				address := abrupt.Serve(t, func(*http.Request) (string, abrupt.Ending) { return response, ending })
				for _, upload := range []int{20 << 10, 1 << 20, 16 << 20} {
					for range 10 {
						resp, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, upload))) //nolint:noctx // A call in a test needs no context.
						var text []byte
						if err == nil {
							text, err = io.ReadAll(resp.Body)
							_ = resp.Body.Close()
						}
						if want := framing != "silent" && (inOrder || framing != "none"); (err == nil) != want || want && string(text) != "whole" {
							t.Errorf("upload of %d bytes: body %q, error %v; want a whole response: %t", upload, text, err, want)
						}
					}
				}
			})
		}
	}
}
