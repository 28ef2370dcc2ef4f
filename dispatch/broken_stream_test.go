package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/eventstream"
	"greengagespoke/traffic"
)

// bodyStream is a stream that is read from the bytes of a body, which ends with the error end
// unless that is nil.
type bodyStream struct {
	fakeStream
	reader *eventstream.Reader
	end    error
}

func newBodyStream(body []byte, end error, resumed bool) *bodyStream {
	return &bodyStream{reader: eventstream.NewReader(bytes.NewReader(body), resumed), end: end}
}

func (s *bodyStream) Next(time.Duration) (traffic.Event, error) {
	id, raw, err := s.reader.Next()
	switch {
	case err == nil:
		return traffic.Event{ID: id, Raw: raw}, nil
	case errors.Is(err, io.EOF) && s.end == nil:
		return traffic.Event{}, io.EOF
	case errors.Is(err, io.EOF), errors.Is(err, eventstream.ErrTruncated) && s.end != nil:
		return traffic.Event{}, s.end
	default:
		return traffic.Event{}, &traffic.CallError{Effect: traffic.EffectUnknown, Err: err}
	}
}

// byteCaller keeps the bytes of the events that it receives.
type byteCaller struct {
	fakeCaller
	body []byte
}

func (c *byteCaller) Event(e traffic.Event) error {
	c.body = append(c.body, e.Raw...)
	return c.fakeCaller.Event(e)
}

// complete reports whether the response looks complete to the caller.
func (c *byteCaller) complete() bool { return c.started && !c.aborted }

const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"

func bodyOf(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString("id: " + strconv.Itoa(i) + "\ndata: " + strings.Repeat("x", i) + "\n\n")
	}
	return b.String()
}

// Reported by operators: a stream broke off, and the next engine answered with something else.
// Callers found the text of an error in their stream, or the stream ended as if it were complete.
func TestStreamGoesOnWithNothingButItsEvents(t *testing.T) {
	for name, c := range map[string]struct {
		// later is the response to the attempt that goes on after event 3 of 8.
		later string
		// got are the events that the caller has in the end, all of them if complete is set.
		got      int
		complete bool
	}{
		"sound":                     {bodyOf(4, 8), 8, true},
		"sound with comments":       {": go on\n\n" + bodyOf(4, 8) + ": end\n\n", 8, true},
		"head and text of an error": {errorHead, 3, false},
		"head and empty line":       {errorHead + "\n\n", 3, false},
		"text of an error":          {"failed\n\n", 3, false},
		"nothing":                   {"", 3, false},
		"comments only":             {": go on\n\n", 3, false},
		"ids begin again":           {bodyOf(1, 8), 3, false},
		"ids repeat the last":       {bodyOf(3, 8), 3, false},
		"ids jump ahead":            {bodyOf(5, 8), 3, false},
		"ids jump within":           {bodyOf(4, 5) + bodyOf(7, 8), 5, false},
		"ids fall":                  {bodyOf(4, 6) + bodyOf(2, 2), 6, false},
		"events without ids":        {"data: a\n\ndata: b\n\n", 3, false},
		"error after the events":    {bodyOf(4, 8) + errorHead + "\n\n", 8, false},
		"part of an error behind":   {bodyOf(4, 8) + errorHead, 8, false},
		"another byte order mark":   {"\ufeff" + bodyOf(4, 8), 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
					if opts.LastEventID == "" {
						return newBodyStream([]byte(bodyOf(1, 3)+"id: 4\nda"), errReset, false), nil
					}
					if opts.LastEventID == "3" {
						return newBodyStream([]byte(c.later), nil, true), nil
					}
					return nil, errReset
				}
				caller := &byteCaller{}
				f.gate.Serve(context.Background(), newRequest("/resume/x"), caller)
				if caller.complete() != c.complete {
					t.Errorf("complete %t, want %t", caller.complete(), c.complete)
				}
				got := strings.NewReplacer(": go on\n\n", "", ": end\n\n", "").Replace(string(caller.body))
				if want := bodyOf(1, c.got); got != want {
					t.Errorf("the caller got %q, want %q", got, want)
				}
			})
		})
	}
}

// The same of the first response: nothing of it reaches the caller, who can tell that it failed.
func TestFirstResponseThatIsNoStreamIsRefused(t *testing.T) {
	for name, body := range map[string]string{
		"head and text of an error": errorHead, "nothing": "", "comments only": ": alive\n\n", "text": "failed\n\n",
		"later events": bodyOf(4, 8), "events without ids": "data: a\n\n",
	} {
		for _, path := range []string{"/draft/x", "/resume/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 1)
					f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
						return newBodyStream([]byte(body), nil, false), nil
					}
					caller := &byteCaller{}
					f.gate.Serve(context.Background(), newRequest(path), caller)
					if caller.started || len(caller.body) > 0 || caller.refusal == nil {
						t.Errorf("started %t, got %q, refusal %v; want a refusal", caller.started, caller.body, caller.refusal)
					}
					if path == "/resume/x" && f.count("stream d1") != 1 {
						t.Errorf("calls %v; want the stream to go on at the other engine", f.calls)
					}
				})
			})
		}
	}
}

// A host of the last release passes on whatever an engine sends it.
func TestStreamOfAnotherHostIsCheckedLikeThatOfAnEngine(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"sound":          {bodyOf(1, 8), true},
		"error":          {bodyOf(1, 3) + errorHead + "\n\n", false},
		"gap":            {bodyOf(1, 3) + bodyOf(5, 8), false},
		"second stream":  {bodyOf(1, 3) + bodyOf(1, 8), false},
		"nothing":        {"", false},
		"without events": {": alive\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFixture(t, 1)
				hops := &fakeHops{pass: func(int) (traffic.HopResponse, error) {
					return traffic.HopResponse{Stream: newBodyStream([]byte(c.body), nil, false)}, nil
				}}
				cutOff(ctx, f, hops)
				caller := &byteCaller{}
				f.gate.Serve(ctx, newRequest("/draft/x"), caller)
				want := bodyOf(1, 8)
				if c.complete != caller.complete() || !strings.HasPrefix(want, string(caller.body)) || c.complete && string(caller.body) != want {
					t.Errorf("complete %t, want %t; got %q", caller.complete(), c.complete, caller.body)
				}
			})
		})
	}
}

// An answer that is no stream may be whole, but is none to a generation: a host of the last release
// hands over what an engine sent under another content type.
func TestAnswerOfAnotherHostToAGenerationIsAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFixture(t, 1)
		hops := &fakeHops{pass: func(int) (traffic.HopResponse, error) {
			return traffic.HopResponse{Answer: &traffic.Answer{Status: 200, Body: []byte("<p>failed</p>")}}, nil
		}}
		cutOff(ctx, f, hops)
		for _, path := range []string{"/draft/x", "/resume/x"} {
			caller := f.serve(path, &fakeCaller{})
			if caller.answer != nil || caller.refusal == nil || caller.refusal.Ran != domain.RanUnknown {
				t.Errorf("%s: answer %v, refusal %v, want a refusal as maybe run", path, caller.answer, caller.refusal)
			}
		}
		if caller := f.serve("/once/x", &fakeCaller{}); caller.answer == nil {
			t.Errorf("a plain call: refusal %v", caller.refusal)
		}
	})
}

// clientEvent is an event as a client reads it from a body.
type clientEvent struct{ id, data string }

// readAsClient reads a body as a client does by the standard: lines end with CR, LF or both, and
// what has no data is no event.
func readAsClient(body []byte) []clientEvent {
	text := strings.TrimPrefix(string(body), "\ufeff")
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	var events []clientEvent
	var e clientEvent
	data := false
	for _, line := range strings.Split(text, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && data:
			events = append(events, e)
			e, data = clientEvent{}, false
		case line == "":
			e = clientEvent{}
		case name == "id":
			e.id = strings.TrimSpace(value)
		case name == "data":
			e.data, data = e.data+value+"\n", true
		}
	}
	return events
}

// Whatever an engine answers, first or later: the events that the caller gets are consecutive, each
// is one of a response, and the stream is marked complete only if the last response was whole.
func FuzzStreamAnswers(f *testing.F) {
	f.Add([]byte(bodyOf(1, 3)), []byte(bodyOf(4, 8)), true, true)
	f.Add([]byte(bodyOf(1, 3)+"id: 4\nda"), []byte(bodyOf(4, 8)), true, true)
	f.Add([]byte(bodyOf(1, 3)), []byte(errorHead+"\n\n"), true, true)
	f.Add([]byte(bodyOf(1, 3)), []byte{}, true, true)
	f.Add([]byte(bodyOf(1, 3)), []byte(bodyOf(1, 8)), true, true)
	f.Add([]byte("\ufeffid:1\rdata:a\r\r"), []byte("\ufeffid:2\r\ndata:b\r\n\r\n: x\n\n"), true, true)
	f.Add([]byte("data: a\n\n"), []byte("data: b\n\n"), false, true)
	f.Add([]byte(errorHead), []byte(bodyOf(1, 8)), false, false)
	f.Fuzz(func(t *testing.T, first, later []byte, broken, resumable bool) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, 1)
			var end error
			if broken {
				end = errReset
			}
			fx.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
				if opts.LastEventID == "" {
					return newBodyStream(first, end, false), nil
				}
				return newBodyStream(later, nil, true), nil
			}
			caller, path := &byteCaller{}, "/draft/x"
			if resumable {
				path = "/resume/x"
			}
			fx.gate.Serve(context.Background(), newRequest(path), caller)
			checkCaller(t, caller, first, later, broken)
		})
	})
}

func checkCaller(t *testing.T, caller *byteCaller, first, later []byte, broken bool) {
	t.Helper()
	got := readAsClient(caller.body)
	sent := slices.Concat(readAsClient(first), readAsClient(later))
	for i, e := range got {
		n, err := strconv.Atoi(e.id)
		if err != nil || i == 0 && n > 1 {
			t.Fatalf("event %d has the id %q; got %q", i, e.id, caller.body)
		}
		if i > 0 {
			if before, _ := strconv.Atoi(got[i-1].id); n != before+1 {
				t.Fatalf("event %q follows %q; got %q", e.id, got[i-1].id, caller.body)
			}
		}
		if !slices.Contains(sent, e) {
			t.Fatalf("event %+v is in neither response; got %q of %q and %q", e, caller.body, first, later)
		}
	}
	if !caller.complete() {
		return
	}
	if len(got) == 0 {
		t.Fatalf("a stream without an event is complete; got %q", caller.body)
	}
	whole := !broken && bytes.HasSuffix(caller.body, first) || len(later) > 0 && bytes.HasSuffix(caller.body, bytes.TrimPrefix(later, []byte("\ufeff")))
	if !whole {
		t.Fatalf("marked complete, but the end is not that of a whole response; got %q of %q and %q", caller.body, first, later)
	}
}
