package peerrpc

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"greengagespoke/counters"
	"greengagespoke/internal/endless"
	"greengagespoke/internal/httplimit"
	"greengagespoke/internal/membudget"
	"greengagespoke/ports"
)

// A host that sends a response without end must not exhaust the memory of its caller.
func TestEndlessResponseOfAPeer(t *testing.T) {
	accepted := 0
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		w.Header().Set("Content-Type", "application/protobuf")
		chunk := []byte(strings.Repeat("x", 64<<10))
		for accepted < 256<<20 {
			n, err := w.Write(chunk)
			if accepted += n; err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	peers := NewPeers(PeersConfig{
		Self: "a", Key: "k", Counters: counters.NewSet(),
		Membership: fixedMembers{{ID: "b", PeerAddress: strings.TrimPrefix(server.URL, "http://")}},
	})
	_, err := peers.Relay("b").Read(t.Context(), ports.RelayRequest{Table: "x", All: true})
	if err == nil || !errors.Is(err, httplimit.ErrBodyTooLarge) && !errors.Is(err, ports.ErrPeerUnreachable) {
		t.Errorf("error %v, want one that says that the host gave no usable response", err)
	}
	<-done
	if limit := maxResponseBytes + endless.MaxKernelBytes; accepted > limit {
		t.Errorf("%d bytes accepted, want at most %d", accepted, limit)
	}
}

// Guards against messages of other hosts that are read without bound before their signature is checked.
func TestMessagesStayWithinTheMemory(t *testing.T) {
	memory := membudget.New(64<<20, nil)
	server := httptest.NewServer(NewServer(ServerConfig{Key: "k", Counters: counters.NewSet(), Memory: memory}))
	t.Cleanup(server.Close)
	proceed := make(chan struct{})
	status := make(chan int)
	const messages = 4
	for range messages {
		go func() {
			// All but the last byte comes, so that the body is held.
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", 8<<20-1)), untilClosed(proceed))
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/twirp/x", body)
			req.ContentLength = 8 << 20
			resp, err := new(http.Transport).RoundTrip(req)
			if err != nil {
				status <- 0
				return
			}
			_ = resp.Body.Close()
			status <- resp.StatusCode
		}()
	}
	for range messages - 1 {
		if got := <-status; got != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503 for what does not fit", got)
		}
	}
	if held := memory.Held(membudget.Messages); held < 8<<20 || held > memory.Total()/2 {
		t.Errorf("%d bytes of %d held for messages", held, memory.Total())
	}
	close(proceed)
	if got := <-status; got != http.StatusUnauthorized {
		t.Errorf("status %d, want 401 for a message without a signature", got)
	}
	for memory.HeldInAll() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// untilClosed returns a reader of one byte that comes when a channel is closed.
func untilClosed(c <-chan struct{}) io.Reader {
	reader, writer := io.Pipe()
	go func() {
		<-c
		_, _ = writer.Write([]byte("x"))
		_ = writer.Close()
	}()
	return reader
}
