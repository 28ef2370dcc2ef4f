package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/endless"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
)

// serve serves a stand-in engine over HTTP on a loopback address and returns it
// with a client for it.
func serve(t *testing.T, cfg engine.Config) (*engine.Engine, *Client) {
	t.Helper()
	cfg.StepBase = time.Millisecond
	cfg.StepPerRunning = time.Microsecond
	e := engine.New(cfg)
	server := httptest.NewServer(Handler(e))
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	up := e.Upstream()
	up.Address = strings.TrimPrefix(server.URL, "http://")
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return e, NewClient(up, &http.Client{Transport: transport})
}

func wantKind(t *testing.T, err error, kind ports.EngineErrorKind) {
	t.Helper()
	var e *ports.EngineError
	if !errors.As(err, &e) || e.Kind != kind {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
}

func readAll(ctx context.Context, s ports.FrameStream) (frames []domain.Frame, err error) {
	for {
		f, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

const prompt = "sketch of the north passage"

var id = domain.AttemptID{Caller: "firm & sons", Request: "r/1", Attempt: 2}

// TestAnswerAcrossProcesses runs a request on a prefill and a decode engine that
// communicate only over HTTP, and resumes its stream.
func TestAnswerAcrossProcesses(t *testing.T) {
	_, prefill := serve(t, engine.Config{
		Upstream:     domain.Upstream{ID: "p", Role: domain.RolePrefill},
		OutputTokens: func(string, int) int { return 10 },
	})
	held, decode := serve(t, engine.Config{
		Upstream: domain.Upstream{ID: "d", Role: domain.RoleDecode},
		Remote: func(ctx context.Context, source domain.Upstream, handle string) ([]byte, error) {
			return prefill.Export(ctx, handle)
		},
	})
	ctx := t.Context()
	res, err := prefill.Prefill(ctx, ports.PrefillRequest{ID: id, Holder: "h", Prompt: prompt, MaxTokens: 10})
	if err != nil {
		t.Fatal(err)
	}
	imp := ports.ImportRequest{ID: id, Holder: "h", Source: "p", SourceAddress: "p", Handle: res.Handle, Pieces: 1}
	if err := decode.Import(ctx, imp); err != nil {
		t.Fatal(err)
	}
	list, err := decode.List(ctx)
	if err != nil || len(list) != 1 || list[0].ID != id || list[0].Holder != "h" {
		t.Fatalf("list %v, error %v", list, err)
	}
	wantKind(t, decode.Import(ctx, ports.ImportRequest{ID: domain.AttemptID{}, Source: "p", SourceAddress: "p", Handle: res.Handle}), ports.EngineExpired)
	for _, after := range []int{0, 4} {
		s, err := decode.Decode(ctx, id, after)
		if err != nil {
			t.Fatal(err)
		}
		frames, err := readAll(ctx, s)
		if err != nil || len(frames) != 10-after || frames[0].Number != after+1 || !frames[len(frames)-1].Last {
			t.Fatalf("after %d: frames %v, error %v", after, frames, err)
		}
		if frames[0].Text != engine.AnswerTo(prompt).Token(after+1) {
			t.Errorf("token %d is %q", after+1, frames[0].Text)
		}
		_ = s.Close()
	}
	if got := held.Held(); len(got) != 0 {
		t.Errorf("still held: %v", got)
	}
}

func TestErrorsKeepTheirKinds(t *testing.T) {
	e, client := serve(t, engine.Config{
		Upstream:      domain.Upstream{ID: "d", Role: domain.RoleDecode},
		ChecksFencing: true,
	})
	ctx := t.Context()
	_, err := client.Decode(ctx, id, 0)
	wantKind(t, err, ports.EngineUnknownAttempt)
	_, err = client.Prefill(ctx, ports.PrefillRequest{ID: id})
	wantKind(t, err, ports.EngineInvalid)
	if err := client.Order(ctx, ports.Order{Role: domain.RoleDecode, FencingToken: 2}); err != nil {
		t.Fatal(err)
	}
	wantKind(t, client.Order(ctx, ports.Order{Role: domain.RoleDecode, FencingToken: 1}), ports.EngineFenced)
	if err := client.Cancel(ctx, id); err != nil {
		t.Errorf("cancel of an unknown attempt: %v", err)
	}
	if _, err := client.Load(ctx); err != nil {
		t.Error(err)
	}
	if _, err := client.CacheEvents(ctx, 7); err != nil {
		t.Error(err)
	}
	e.Kill()
	_, err = client.List(ctx)
	wantKind(t, err, ports.EngineUnreachable)
}

// TestBrokenStreamIsNotAnEnd checks that a stream fails if the connection closes
// before the end event, so that a truncated response is not taken for a complete
// one.
func TestBrokenStreamIsNotAnEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentTypeEvents)
		_, _ = io.WriteString(w, ": comment\nid: 1\ndata: {\"number\":1,\"text\":\"a\"}\n\n")
	}))
	defer server.Close()
	up := domain.Upstream{ID: "d", Address: strings.TrimPrefix(server.URL, "http://")}
	s, err := NewClient(up, server.Client()).Decode(t.Context(), id, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	frames, err := readAll(t.Context(), s)
	wantKind(t, err, ports.EngineUnreachable)
	if len(frames) != 1 || frames[0].Text != "a" {
		t.Errorf("frames %v", frames)
	}
}

func TestUnreachableEngine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := NewClient(domain.Upstream{ID: "d", Address: address}, &http.Client{Transport: &http.Transport{}})
	wantKind(t, client.Cancel(t.Context(), id), ports.EngineUnreachable)
}

// Found beside the reports: a response whose connection broke behind a JSON value was taken for whole,
// and so was a part of an error.
func TestResponseThatIsNotWholeIsAnUnreachableEngine(t *testing.T) {
	for _, status := range []string{"200 OK", "429 Too Many Requests"} {
		body := `{"kind":"full","handle":"h"}`
		address, _ := endless.Serve(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body)+1, body), "")
		_, err := NewClient(domain.Upstream{ID: "e", Address: address}, &http.Client{}).Prefill(t.Context(), ports.PrefillRequest{})
		var failed *ports.EngineError
		if !errors.As(err, &failed) || failed.Kind != ports.EngineUnreachable {
			t.Errorf("%s: %v, want an unreachable engine", status, err)
		}
	}
}
