package upstreams

import (
	"errors"
	"net/http"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/internal/abrupt"
	"greengagespoke/internal/endless"
	"greengagespoke/ports"
)

func TestClientsFollowTheAddress(t *testing.T) {
	set := New()
	defer set.Close()
	up := domain.Upstream{ID: "d-1", Address: "127.0.0.1:1"}
	first := set.Engine(up)
	if set.Engine(up) != first {
		t.Error("a second client was made for the same address")
	}
	up.Address = "127.0.0.1:2"
	if set.Engine(up) == first {
		t.Error("the client was kept after a change of address")
	}
	if set.Service(up) != set.Service(up) {
		t.Error("a second service client was made")
	}
}

// Reported by operators: callers got what was no response of HTTP. The call may have run.
func TestMalformedResponseOfAnUpstream(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 777 High\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX: v\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}",
	} {
		address, _ := endless.Serve(t, response, "")
		set := New()
		defer set.Close()
		up := domain.Upstream{ID: "u-1", Address: address}
		got, err := set.Service(up).Call(t.Context(), ports.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte("x")})
		var failed *ports.ServiceError
		if !errors.As(err, &failed) || !failed.Sent {
			t.Errorf("%q: a service responded %+v, %v; want a call that may have run", response, got, err)
		}
		_, err = set.Engine(up).Prefill(t.Context(), ports.PrefillRequest{})
		var broken *ports.EngineError
		if !errors.As(err, &broken) || broken.Kind != ports.EngineUnreachable {
			t.Errorf("%q: an engine responded %v; want an unreachable one", response, err)
		}
	}
}

// Reported by operators: a part of a response that was reset while the request was being written was taken
// for the whole.
func TestResetResponseOfAService(t *testing.T) {
	for ending, inOrder := range abrupt.Endings {
		address := abrupt.Serve(t, func(*http.Request) (string, abrupt.Ending) { return "HTTP/1.1 200 OK\r\n\r\npart", ending })
		set := New()
		defer set.Close()
		for range 3 {
			req := ports.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20)}
			got, err := set.Service(domain.Upstream{ID: "u-1", Address: address}).Call(t.Context(), req)
			var failed *ports.ServiceError
			switch {
			case inOrder && (err != nil || string(got.Body) != "part"):
				t.Errorf("%s: body %q, error %v; want the response", ending, got.Body, err)
			case !inOrder && (!errors.As(err, &failed) || !failed.Sent):
				t.Errorf("%s: body %q, error %v; want a call that may have run", ending, got.Body, err)
			}
		}
	}
}
