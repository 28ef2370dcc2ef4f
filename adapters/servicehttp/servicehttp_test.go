package servicehttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/service"
)

func post(key string, body string) ports.ServiceRequest {
	return ports.ServiceRequest{
		Method: http.MethodPost, Path: "/closures?x=1", Header: http.Header{service.KeyHeader: {key}}, Body: []byte(body),
	}
}

func TestCallReachesTheService(t *testing.T) {
	s := service.New(service.Config{Upstream: domain.Upstream{ID: "ledger-1"}})
	server := httptest.NewServer(Handler(s))
	defer server.Close()
	client := NewClient(domain.Upstream{Address: strings.TrimPrefix(server.URL, "http://")}, server.Client().Transport)
	resp, err := client.Call(t.Context(), post("k", "body"))
	if err != nil || resp.Status != http.StatusOK || !strings.Contains(string(resp.Body), `"path":"/closures?x=1"`) {
		t.Fatalf("response %+v, error %v", resp, err)
	}
	if got := s.Ledger().Executions("k"); got != 1 {
		t.Errorf("%d executions under the key, want 1", got)
	}
	s.LoseAnswers(1)
	_, err = client.Call(t.Context(), post("lost", "body"))
	var lost *ports.ServiceError
	if !errors.As(err, &lost) || !lost.Sent {
		t.Errorf("lost answer: %v", err)
	}
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client := NewClient(domain.Upstream{Address: listener.Addr().String()}, &http.Transport{})
	_, err = client.Call(t.Context(), post("k", ""))
	var refused *ports.ServiceError
	if !errors.As(err, &refused) || refused.Sent {
		t.Errorf("got %v, want an error that says not sent", err)
	}
}

// TestTransportDoesNotRepeatACall closes a reused connection after the server has
// read the second request. Unless prevented, net/http retries such requests if
// their method is idempotent or they carry an idempotency key.
func TestTransportDoesNotRepeatACall(t *testing.T) {
	for _, req := range []ports.ServiceRequest{
		post("k", "body"),
		post("k", ""),
		{Method: http.MethodGet, Path: "/status"},
		{Method: http.MethodDelete, Path: "/closures", Header: http.Header{"X-Idempotency-Key": {"k"}}},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var received atomic.Int32
		go answerOnceThenBreak(listener, &received)
		transport := &http.Transport{}
		client := NewClient(domain.Upstream{Address: listener.Addr().String()}, transport)
		if _, err := client.Call(t.Context(), req); err != nil {
			t.Fatalf("first call: %v", err)
		}
		_, err = client.Call(t.Context(), req)
		var broken *ports.ServiceError
		if !errors.As(err, &broken) || !broken.Sent {
			t.Errorf("%s: got %v, want a broken call", req.Method, err)
		}
		if got := received.Load(); got != 2 {
			t.Errorf("%s: service received %d requests, want 2", req.Method, got)
		}
		_ = listener.Close()
		transport.CloseIdleConnections()
	}
}

// answerOnceThenBreak responds to the first request of each connection and closes
// the connection after reading the second.
func answerOnceThenBreak(listener net.Listener, received *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			received.Add(1)
			if n == 1 {
				break
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		_ = conn.Close()
	}
}
