package gateclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/entrypoints"
)

// fakeHost starts a host that lists its own address twice as entry point and passes
// all other requests to a handler. It returns a client of the host.
func fakeHost(t *testing.T, handle http.HandlerFunc) *Client {
	t.Helper()
	var address string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entrypoints", func(w http.ResponseWriter, _ *http.Request) {
		answer := entrypoints.Answer{Addresses: []entrypoints.Address{{Address: address}, {Address: address}}}
		_ = json.NewEncoder(w).Encode(answer)
	})
	mux.HandleFunc("/", handle)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	address = strings.TrimPrefix(srv.URL, "http://")
	// The transport may resend a request on a kept-alive connection that broke.
	// Without keep-alives it sends each request once.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return New(Config{Hosts: []string{"127.0.0.1:1", address}, Caller: "firm", HTTP: client})
}

func frame(w io.Writer, number int, text string) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", number, text)
}

// TestCompleteGoesOn checks that a broken stream is resumed after the last frame and
// that no part of the response is delivered twice.
func TestCompleteGoesOn(t *testing.T) {
	var sends atomic.Int32
	c := fakeHost(t, func(w http.ResponseWriter, r *http.Request) {
		var body completionBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		if sends.Add(1) == 1 {
			frame(w, 1, "a")
			frame(w, 2, "b")
			return
		}
		if r.Header.Get(headerLastEventID) != "2" || r.Header.Get(headerAttempt) != "2" || body.Received != "ab" {
			t.Errorf("the second send has headers %v and body %+v", r.Header, body)
		}
		frame(w, 2, "b")
		frame(w, 3, "c")
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	var got strings.Builder
	out, err := c.Complete(context.Background(), Completion{Model: "m", Prompt: "p"}, func(text string) error {
		got.WriteString(text)
		return nil
	})
	if err != nil || got.String() != "abc" || out.Attempts != 2 || out.Tokens != 3 {
		t.Errorf("answer %q, outcome %+v, error %v; want abc in 2 attempts", got.String(), out, err)
	}
}

func TestCompleteReturnsRefusals(t *testing.T) {
	const refused = `{"error":{"kind":"late","message":"m","remedy":"r","ran":"no","retry_after_ms":1500}}`
	for name, handle := range map[string]http.HandlerFunc{
		"before the answer": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, refused)
		},
		"within the answer": func(w http.ResponseWriter, _ *http.Request) {
			frame(w, 1, "a")
			_, _ = io.WriteString(w, "event: error\ndata: "+refused+"\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fakeHost(t, handle).Complete(context.Background(), Completion{Model: "m", Prompt: "p"},
				func(string) error { return nil })
			refusal, ok := domain.AsRefusal(err)
			if !ok || refusal.Kind != domain.RefusalLate || refusal.RetryAfter.Milliseconds() != 1500 {
				t.Errorf("error is %v, want the refusal", err)
			}
		})
	}
}

// TestCallServiceRepeats checks that a call is resent after a lost response only if
// it is idempotent or has an idempotency key.
func TestCallServiceRepeats(t *testing.T) {
	cases := []struct {
		name  string
		call  Call
		sends int32
	}{
		{"read", Call{Method: http.MethodGet, Path: "/x"}, 2},
		{"write with key", Call{Method: http.MethodPost, Path: "/x", IdempotencyKey: "k"}, 2},
		{"write without key", Call{Method: http.MethodPost, Path: "/x", Body: []byte("b")}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var sends atomic.Int32
			c := fakeHost(t, func(_ http.ResponseWriter, r *http.Request) {
				if want := strconv.Itoa(int(sends.Add(1))); r.Header.Get(headerAttempt) != want {
					t.Errorf("attempt is %q, want %s", r.Header.Get(headerAttempt), want)
				}
				panic(http.ErrAbortHandler)
			})
			_, err := c.CallService(context.Background(), tc.call)
			var unreachable *UnreachableError
			if !errors.As(err, &unreachable) || !IsUnknown(err) {
				t.Errorf("error is %v, want *UnreachableError with unknown outcome", err)
			}
			if sends.Load() != tc.sends {
				t.Errorf("sent %d times, want %d", sends.Load(), tc.sends)
			}
		})
	}
}

// Found beside the reports: a refusal of which a part had come was believed.
func TestRefusalThatIsNotWholeIsNone(t *testing.T) {
	var sends atomic.Int32
	c := fakeHost(t, func(w http.ResponseWriter, _ *http.Request) {
		if sends.Add(1) == 1 {
			refusal := `{"error":{"kind":"overloaded","ran":"no"}}`
			w.Header().Set("Content-Length", strconv.Itoa(len(refusal)+1))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, refusal)
			return
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	out, err := c.Complete(t.Context(), Completion{Model: "m", Prompt: "p"}, func(string) error { return nil })
	if err != nil || out.Attempts != 2 {
		t.Errorf("outcome %+v, error %v; want an answer in 2 attempts", out, err)
	}
}
