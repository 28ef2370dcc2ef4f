package gateclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	// id is the number of the frame; 0 where the event has none.
	id   int
	name string
	data []byte
}

// eventReader reads server-sent events.
//
// Source: https://html.spec.whatwg.org/multipage/server-sent-events.html.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event. It returns io.ErrUnexpectedEOF where the stream
// ends, as whole answers end with an event of their own.
func (r *eventReader) next() (event, error) {
	var e event
	seen := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if seen {
				return e, nil
			}
			continue
		}
		seen = true
		if err := e.field(line); err != nil {
			return e, err
		}
	}
	if err := r.lines.Err(); err != nil {
		return e, err
	}
	return e, io.ErrUnexpectedEOF
}

// errBadEvent means that a stream is not in the expected format.
var errBadEvent = errors.New("the event stream is malformed; check that the address is an entry host")

func (e *event) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil {
			return errBadEvent
		}
		e.id = id
	case "event":
		e.name = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
	return nil
}
