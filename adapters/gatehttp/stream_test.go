package gatehttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"greengagespoke/domain"
)

func testCompletion() *domain.Completion {
	return &domain.Completion{Caller: "firm-a", Request: "r1", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 2}
}

func TestEventsCarryNumberTextAndEnd(t *testing.T) {
	for _, format := range []responseFormat{completionFormat, chatFormat} {
		w := httptest.NewRecorder()
		events := newEventWriter(w, testCompletion(), format, time.Unix(1, 0))
		if err := events.writeFrame(domain.Frame{Number: 1, Text: "a \"quoted\"\nline"}); err != nil {
			t.Fatal(err)
		}
		if err := events.writeFrame(domain.Frame{Number: 2, Text: "end", Last: true}); err != nil {
			t.Fatal(err)
		}
		events.writeDone()
		parts := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		if len(parts) != 3 || parts[2] != "data: [DONE]" {
			t.Fatalf("%s: events are %q", format.chunkObject, parts)
		}
		if !strings.HasPrefix(parts[0], "id: 1\ndata: {") || !strings.Contains(parts[0], `a \"quoted\"\nline`) {
			t.Errorf("%s: first event is %q", format.chunkObject, parts[0])
		}
		if !strings.Contains(parts[0], `"finish_reason":null`) || !strings.Contains(parts[1], `"finish_reason":"length"`) {
			t.Errorf("%s: finish reasons in %q and %q", format.chunkObject, parts[0], parts[1])
		}
	}
}

func TestFailureWithinAnAnswerIsAnErrorEvent(t *testing.T) {
	w := httptest.NewRecorder()
	events := newEventWriter(w, testCompletion(), completionFormat, time.Unix(1, 0))
	if err := events.writeFrame(domain.Frame{Number: 1, Text: "a"}); err != nil {
		t.Fatal(err)
	}
	events.writeErrorEvent(domain.Refuse(domain.RefusalUpstreamFailed, "gone", "retry").WithRan(domain.RanYes))
	if body := w.Body.String(); !strings.Contains(body, "event: error\ndata: {\"error\":{\"kind\":\"upstream_failed\"") || strings.Contains(body, "[DONE]") {
		t.Errorf("body is %q", body)
	}
}

func TestRefusalHasStatusRanAndRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	writeRefusal(w, domain.Refuse(domain.RefusalLate, "too late", "retry").WithRetryAfter(1500*time.Millisecond))
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if want := `"ran":"no","retry_after_ms":1500`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("body is %s", w.Body.String())
	}
}

func TestCompletionOfChecksHeaders(t *testing.T) {
	cases := map[string]struct {
		header, value string
		body          completionRequest
		refused       bool
	}{
		"plain":                 {body: completionRequest{Model: "m", Prompt: "p"}},
		"no prompt":             {body: completionRequest{Model: "m"}, refused: true},
		"attempt zero":          {header: HeaderRequestAttempt, value: "0", body: completionRequest{Model: "m", Prompt: "p"}, refused: true},
		"attempt text":          {header: HeaderRequestAttempt, value: "two", body: completionRequest{Model: "m", Prompt: "p"}, refused: true},
		"resume without text":   {header: HeaderLastEventID, value: "3", body: completionRequest{Model: "m", Prompt: "p"}, refused: true},
		"text without number":   {body: completionRequest{Model: "m", Prompt: "p", Received: "abc"}, refused: true},
		"resume with both told": {header: HeaderLastEventID, value: "3", body: completionRequest{Model: "m", Prompt: "p", Received: "abc"}},
	}
	for name, c := range cases {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
		if c.header != "" {
			r.Header.Set(c.header, c.value)
		}
		got, err := completionOf(r, "firm-a", c.body)
		if refusal, ok := domain.AsRefusal(err); ok != c.refused || ok && (refusal.Kind != domain.RefusalBadRequest || refusal.Ran != domain.RanNo) {
			t.Errorf("%s: error is %v", name, err)
		}
		if err == nil && (got.Request == "" || got.Attempt != 1) {
			t.Errorf("%s: request is %+v", name, got)
		}
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// BenchmarkWriteFrame measures the encoding of one frame as an event.
func BenchmarkWriteFrame(b *testing.B) {
	b.ReportAllocs()
	events := newEventWriter(discardWriter{make(http.Header)}, testCompletion(), completionFormat, time.Unix(1, 0))
	for n := 1; b.Loop(); n++ {
		if err := events.writeFrame(domain.Frame{Number: n, Text: " word"}); err != nil {
			b.Fatal(err)
		}
	}
}
