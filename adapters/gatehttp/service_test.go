package gatehttp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"greengagespoke/ports"
)

// Found beside the reports: a caller of HTTP/1.0 could not tell a long response of a service from a part
// of it, as it had no length.
func TestResponseOfAServiceHasALength(t *testing.T) {
	for _, size := range []int{0, 10, 100 << 10} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeServiceResponse(w, ports.ServiceResponse{Status: http.StatusOK, Body: make([]byte, size)})
		}))
		defer server.Close()
		conn, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // A connection in a test needs no context.
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		text, err := io.ReadAll(conn)
		if want := fmt.Sprintf("\r\nContent-Length: %d\r\n", size); err != nil || !bytes.Contains(text, []byte(want)) {
			t.Errorf("a body of %d bytes: error %v, head %.150q", size, err, text)
		}
	}
}
