package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// serveEvents responds to each decode with the given text and then keeps the
// connection open without sending more, until the client closes it.
func serveEvents(t *testing.T, text string) *Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(srv.Close)
	return NewClient(domain.Upstream{ID: "d1", Address: strings.TrimPrefix(srv.URL, "http://")}, srv.Client())
}

func eventOf(t *testing.T, f domain.Frame) string {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(": comment\nid: %d\r\ndata: %s\n\n", f.Number, data)
}

// TestLongEvents checks that events larger than the read buffer are read whole.
func TestLongEvents(t *testing.T) {
	want := []domain.Frame{{Number: 1, Text: "a"}, {Number: 2, Text: strings.Repeat("long ", readBufferBytes)}, {Number: 3, Text: "b"}}
	var text strings.Builder
	for _, f := range want {
		text.WriteString(eventOf(t, f))
	}
	s, err := serveEvents(t, text.String()).Decode(t.Context(), domain.AttemptID{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for _, f := range want {
		if got, err := s.Next(t.Context()); err != nil || got != f {
			t.Fatalf("frame %d: got number %d with %d bytes, error %v", f.Number, got.Number, len(got.Text), err)
		}
	}
}

// TestEndOfContextEndsTheWait checks that Next returns when its context ends while
// the engine sends nothing, and that a closed stream returns no frames.
func TestEndOfContextEndsTheWait(t *testing.T) {
	s, err := serveEvents(t, eventOf(t, domain.Frame{Number: 1, Text: "a"})).Decode(t.Context(), domain.AttemptID{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := s.Next(ctx); err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error, 1)
	go func() {
		_, err := s.Next(ctx)
		waiting <- err
	}()
	cancel()
	if err := <-waiting; !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want the context's", err)
	}
	_ = s.Close()
	var broken *ports.EngineError
	if _, err := s.Next(t.Context()); err == nil || errors.As(err, &broken) && broken.Kind != ports.EngineUnreachable {
		t.Errorf("a closed stream returned %v", err)
	}
}
