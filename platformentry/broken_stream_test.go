package platformentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"greengagespoke/platform/wire"
)

// sealed returns the bytes of a response with the seal of an engine and a correct length.
func sealed(r *http.Request, status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID), wire.HeaderSeal, contentType, len(body), body)
}

func numberedEvents(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: {\"token\":%d,\"version\":\"v1\"}\n\n", i, i)
	}
	return b.String()
}

// Reported by operators: an engine breaks a stream off, and the next one answers with something
// else, as a response with its seal. The caller must get the events of the stream and nothing else,
// and must not take it for complete unless it is.
func TestBrokenStreamGoesOnWithItsEventsOnly(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"
	const stream = "text/event-stream"
	cases := map[string]struct {
		status, contentType, body string
		complete                  bool
	}{
		"sound":                       {"200 OK", stream, numberedEvents(3, 5), true},
		"sound-with-parameter":        {"200 OK", stream + "; charset=utf-8", numberedEvents(3, 5), true},
		"sound-with-comments":         {"200 OK", stream, ": on\n\nretry: 5\n\n" + numberedEvents(3, 5), true},
		"head-and-text-of-an-error":   {"200 OK", stream, head + "\n\n", false},
		"text-of-an-error":            {"200 OK", stream, "failed\n\n", false},
		"nothing":                     {"200 OK", stream, "", false},
		"ids-from-the-start":          {"200 OK", stream, numberedEvents(1, 5), false},
		"ids-ahead":                   {"200 OK", stream, numberedEvents(4, 5), false},
		"events-without-ids":          {"200 OK", stream, "data: a\n\ndata: b\n\n", false},
		"error-behind-the-events":     {"200 OK", stream, numberedEvents(3, 5) + head + "\n\n", false},
		"html":                        {"200 OK", "text/html", "<p>failed</p>\n\n", false},
		"failure-with-an-event":       {"500 Internal Server Error", stream, numberedEvents(3, 5), false},
		"failure":                     {"500 Internal Server Error", "text/plain", "failed", false},
		"no-content-with-the-seal":    {"204 No Content", stream, "", false},
		"events-under-another-type":   {"200 OK", "application/json", numberedEvents(3, 5), false},
		"blank-in-a-name":             {"200 OK", stream + "\r\nX Odd: v", numberedEvents(3, 5), false},
		"half-an-event-at-its-length": {"200 OK", stream, "id: 3\ndata: a", false},
	}
	d := newDeployment(t, 1)
	for name, c := range cases {
		for _, path := range []string{"/note/", "/draft/"} {
			t.Run(name+path, func(t *testing.T) {
				target := path + name
				reply := brokenReply(target, func(r *http.Request) string { return sealed(r, c.status, c.contentType, c.body) })
				for _, w := range d.workers {
					w.SetReply(reply)
				}
				got := d.send(d.hosts[0], "POST", target, nil)
				complete := got.status == http.StatusOK && got.err == nil
				if want := c.complete && path == "/note/"; complete != want {
					t.Errorf("status %d, error %v: looks complete: %t, want %t; body %q", got.status, got.err, complete, want, got.body)
				}
				events := strings.NewReplacer(": on\n\n", "", "retry: 5\n\n", "").Replace(got.body)
				if got.status == http.StatusOK && !strings.HasPrefix(numberedEvents(1, 5), events) {
					t.Errorf("the caller got %q", got.body)
				}
			})
		}
	}
}

// brokenReply makes the first engine that has a request break its stream off inside the third
// event, and lets later ones respond by a function.
func brokenReply(target string, later func(r *http.Request) string) func(r *http.Request) string {
	var mu sync.Mutex
	begun := false
	return func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.URL.Path != target:
			return ""
		case begun:
			return later(r)
		}
		begun = true
		cut := sealed(r, "200 OK", "text/event-stream", numberedEvents(1, 5))
		return cut[:strings.Index(cut, "id: 3")+len("id: 3\nda")]
	}
}
