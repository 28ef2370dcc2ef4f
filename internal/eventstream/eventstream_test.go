package eventstream

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll returns the identifiers and the bytes of all events of a body, and the error at its end.
func readAll(r *Reader) (ids []string, raw []byte, err error) {
	for {
		id, event, err := r.Next()
		if err != nil {
			return ids, raw, err
		}
		raw = append(raw, event...)
		if id != "" {
			ids = append(ids, id)
		}
	}
}

const weights = "x-weight-versions"

// Sound engines may use all that the standard allows, and the fields of the platform.
func TestLegalFormsPassUnchanged(t *testing.T) {
	for name, body := range map[string]string{
		"plain":            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"crlf":             "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"cr":               "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"mixed line ends":  "id: 1\rdata: a\r\n\nid: 2\ndata: b\r\n\r",
		"no space":         "id:1\ndata:a\n\nid:2\ndata:b\n\n",
		"comments":         ": first\n\n: second\nid: 1\n: third\ndata: a\n\n:\n\nid: 2\ndata: b\n\n: last\n\n",
		"retry":            "retry: 300\n\nid: 1\nretry: 5\ndata: a\n\nid: 2\ndata: b\n\n",
		"event names":      "event: token\nid: 1\ndata: a\n\nevent: token\nid: 2\ndata: b\n\n",
		"several data":     "id: 1\ndata: a\ndata: c\n\nid: 2\ndata\n\n",
		"byte order mark":  "\ufeffid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"platform's field": weights + ": 7\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"unknown word":     "id: 1\ntrace: x\ndata: a\n\nid: 2\ndata: b\n\n",
		"empty lines":      "\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n",
		"long":             "id: 1\ndata: " + strings.Repeat("a", 100<<10) + "\n\nid: 2\ndata: b\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, src := range []io.Reader{strings.NewReader(body), iotest.OneByteReader(strings.NewReader(body))} {
				ids, raw, err := readAll(NewReader(src, false, weights))
				if !errors.Is(err, io.EOF) || !slices.Equal(ids, []string{"1", "2"}) || string(raw) != body {
					t.Fatalf("events %v, error %v, bytes %.80q; want 1 and 2 as they came", ids, err, raw)
				}
			}
		})
	}
}

// Nothing but whole events passes. What came before is kept.
func TestForeignBytesAreNoEvents(t *testing.T) {
	const sound = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		rest string
		want error
	}{
		"head of an error":         {"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n", ErrMalformed},
		"head in an event":         {"id: 2\ndata: bHTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\ndata: c\n\n", ErrMalformed},
		"header in an event":       {"id: 2\ncontent-type: text/plain\ndata: b\n\n", ErrMalformed},
		"text":                     {"internal server error\n\n", ErrMalformed},
		"word":                     {"failed\n\n", ErrMalformed},
		"json":                     {"{\"error\": \"failed\"}\n\n", ErrMalformed},
		"html":                     {"<html>failed</html>\n\n", ErrMalformed},
		"text without a line":      {"failed", ErrTruncated},
		"event without an id":      {"data: b\n\n", ErrMalformed},
		"event without data":       {"id: 2\n\n", ErrMalformed},
		"unknown field alone":      {"trace: x\n\n", ErrMalformed},
		"platform's field alone":   {weights + ": 7\n\n", ErrMalformed},
		"two ids":                  {"id: 2\nid: 3\ndata: b\n\n", ErrMalformed},
		"id that is no number":     {"id: two\ndata: b\n\n", ErrMalformed},
		"negative id":              {"id: -2\ndata: b\n\n", ErrMalformed},
		"empty id":                 {"id\ndata: b\n\n", ErrMalformed},
		"id out of range":          {"id: 99999999999999999999\ndata: b\n\n", ErrMalformed},
		"byte order mark":          {"\ufeffid: 2\ndata: b\n\n", ErrMalformed},
		"zero bytes":               {"\x00\x00\n\n", ErrMalformed},
		"part of an id":            {"id: ", ErrTruncated},
		"part of an event":         {"id: 2\ndata: b", ErrTruncated},
		"event without empty line": {"id: 2\ndata: b\n", ErrTruncated},
		"comment without a line":   {": alive", ErrTruncated},
		"long event":               {"id: 2\ndata: " + strings.Repeat("b", maxEventBytes) + "\n\n", ErrTooLarge},
		"many comments":            {strings.Repeat(": alive\n\n", maxEventBytes/9+1), ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			ids, raw, err := readAll(NewReader(strings.NewReader(sound+c.rest), false, weights))
			if !errors.Is(err, c.want) || !slices.Equal(ids, []string{"1"}) || string(raw) != sound {
				t.Fatalf("events %v, error %v, bytes %q; want event 1 and %v", ids, err, raw, c.want)
			}
		})
	}
}

// A stream that goes on after events of another body has no mark among them.
func TestByteOrderMarkIsNotPassedOnWithinAStream(t *testing.T) {
	ids, raw, err := readAll(NewReader(strings.NewReader("\ufeff: go on\n\nid: 4\ndata: d\n\n"), true))
	if !errors.Is(err, io.EOF) || !slices.Equal(ids, []string{"4"}) || bytes.Contains(raw, []byte(byteOrderMark)) {
		t.Fatalf("events %v, error %v, bytes %q", ids, err, raw)
	}
}

// An event that is whole is not held back until the byte behind it arrives.
func TestEventIsReturnedOnceItIsWhole(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		read, write := io.Pipe()
		go func() { _, _ = io.WriteString(write, "id: 1\ndata: a"+end) }()
		id, _, err := NewReader(read, false).Next()
		if id != "1" || err != nil {
			t.Errorf("end %q: event %q, error %v", end, id, err)
		}
	}
}

func TestEventsAreConsecutive(t *testing.T) {
	for _, c := range []struct {
		last, next string
		ok         bool
	}{
		{"", "0", true},
		{"", "1", true},
		{"", "2", false},
		{"", "x", false},
		{"", "", false},
		{"0", "1", true},
		{"3", "4", true},
		{"3", "3", false},
		{"3", "2", false},
		{"3", "5", false},
		{"3", "1", false},
		{"3", "+4", false},
		{"9223372036854775807", "9223372036854775808", false},
	} {
		if err := Follows(c.last, c.next); (err == nil) != c.ok || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("event %q after %q: %v, want it allowed: %t", c.next, c.last, err, c.ok)
		}
	}
}

func TestContentTypeOfStreams(t *testing.T) {
	for contentType, ok := range map[string]bool{
		"": true, "text/event-stream": true, "text/event-stream; charset=utf-8": true, "Text/Event-Stream": true,
		"text/html": false, "application/json": false, "text/event-streams": false, "text": false, ";": false,
	} {
		if err := CheckType(contentType); (err == nil) != ok {
			t.Errorf("%q: %v, want it allowed: %t", contentType, err, ok)
		}
	}
}

// Whatever the bytes, and however they arrive, what is passed on is their beginning, and its
// blocks are events.
func FuzzReader(f *testing.F) {
	for _, body := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "\ufeffid:1\r\ndata:a\r\n\r\n: x\r\r", "HTTP/1.1 500 x\r\n\r\n",
		"id: 1\ndata: a\r\r\nid: 2\rdata", "retry: 1\n\nid: 1\nevent: x\ndata\n\n\n", "id: 1\ndata: a\n\nfailed",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ids, raw, err := readAll(NewReader(bytes.NewReader(body), false, weights))
		slowIDs, slowRaw, slowErr := readAll(NewReader(iotest.OneByteReader(bytes.NewReader(body)), false, weights))
		if !bytes.HasPrefix(body, raw) {
			t.Fatalf("%q is not the beginning of %q", raw, body)
		}
		if !slices.Equal(ids, slowIDs) || errors.Is(err, io.EOF) != errors.Is(slowErr, io.EOF) {
			t.Fatalf("events %v, error %v at once; %v, %v byte by byte", ids, err, slowIDs, slowErr)
		}
		if errors.Is(err, io.EOF) && (!bytes.Equal(raw, body) || !bytes.Equal(slowRaw, body)) {
			t.Fatalf("a whole stream of %q passed on as %q and %q", body, raw, slowRaw)
		}
		if strings.Contains(strings.ReplaceAll(string(raw), "data: ", ""), "HTTP/1.1 500 x\n\n") {
			t.Fatalf("the head of an error was passed on: %q", raw)
		}
	})
}
