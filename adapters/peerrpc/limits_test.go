package peerrpc

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"greengagespoke/counters"
	"greengagespoke/internal/endless"
	"greengagespoke/internal/httplimit"
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
