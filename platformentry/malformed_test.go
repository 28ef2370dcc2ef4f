package platformentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// malformedReplies change a sound response to one that HTTP does not allow.
var malformedReplies = map[string]func(response string) string{
	"status-000": func(response string) string { return strings.Replace(response, " 200 ", " 000 ", 1) },
	"status-777": func(response string) string { return strings.Replace(response, " 200 ", " 777 ", 1) },
	"blank-in-a-name": func(response string) string {
		return strings.Replace(response, "\r\n\r\n", "\r\nX Odd: v\r\n\r\n", 1)
	},
	"control-byte-in-a-name": func(response string) string {
		return strings.Replace(response, "\r\n\r\n", "\r\nX\x01Odd: v\r\n\r\n", 1)
	},
	"blank-before-a-name": func(response string) string {
		return strings.Replace(response, "\r\nContent-Type:", "\r\n X-Odd: v\r\nContent-Type:", 1)
	},
	"http-1.0-with-chunks": func(response string) string {
		head, body, _ := strings.Cut(response, "\r\n\r\n")
		head = strings.Replace(head[:strings.Index(head, "\r\nContent-Length:")], "HTTP/1.1", "HTTP/1.0", 1)
		return fmt.Sprintf("%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	},
	"blank-behind-the-name-of-the-length": func(response string) string {
		return strings.Replace(response, "Content-Length:", "Content-Length :", 1) + "more"
	},
}

// Reported by operators: callers got what a failing upstream sent though it was no response of HTTP.
// They must get a sound response of another upstream where the request may be repeated, and else word
// that it may have run.
func TestMalformedResponsesDoNotReachCallers(t *testing.T) {
	d := newDeployment(t, 1)
	for name, change := range malformedReplies {
		for path, repeatable := range map[string]bool{"/filing/": false, "/status/": true, "/draft/": false, "/note/": true} {
			t.Run(name+path, func(t *testing.T) {
				target := path + name
				reply := firstReply(target, func(r *http.Request) string {
					contentType, body := "text/plain", "answer of nobody"
					if strings.HasPrefix(path, "/draft") || strings.HasPrefix(path, "/note") {
						contentType, body = "text/event-stream", numberedEvents(1, 5)
					}
					return change(sealed(r, "200 OK", contentType, body))
				})
				for _, w := range d.workers {
					w.SetReply(reply)
				}
				got := d.send(d.hosts[0], "POST", target, nil)
				ran := d.executions(got.id)
				switch {
				case repeatable && (got.err != nil || got.status != http.StatusOK || strings.Contains(got.body, "nobody") || ran != 2):
					t.Errorf("status %d, error %v, body %q after %d runs; want the response of another upstream", got.status, got.err, got.body, ran)
				case !repeatable && (got.err != nil || got.status != http.StatusBadGateway || ran != 1):
					t.Errorf("status %d, error %v, body %q after %d runs; want 502 after one", got.status, got.err, got.body, ran)
				}
			})
		}
	}
}

// firstReply lets the first upstream that has a request respond by a function.
func firstReply(target string, reply func(r *http.Request) string) func(r *http.Request) string {
	var mu sync.Mutex
	begun := false
	return func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path != target || begun {
			return ""
		}
		begun = true
		return reply(r)
	}
}
