package gateclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventLineBytes bounds the length of a line in an event stream.
const maxEventLineBytes = 1 << 20

// event is one server-sent event.
type event struct {
	// id is the number of the frame, or 0 if the event has none.
	id   int
	name string
	data []byte
}

// eventReader reads server-sent events.
//
// Source: https://html.spec.whatwg.org/multipage/server-sent-events.html.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventLineBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event. It returns io.ErrUnexpectedEOF at the end of the
// stream: a complete response ends with an explicit event, after which the caller
// stops reading.
func (r *eventReader) next() (event, error) {
	var e event
	seen := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if seen {
				return e, nil
			}
			continue
		}
		seen = true
		if err := e.parseField(line); err != nil {
			return e, err
		}
	}
	if err := r.scanner.Err(); err != nil {
		return e, err
	}
	return e, io.ErrUnexpectedEOF
}

// errMalformedEvent means that an event stream is not in the expected format.
var errMalformedEvent = errors.New("the event stream is malformed; check that the address is an entry host")

func (e *event) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil {
			return errMalformedEvent
		}
		e.id = id
	case "event":
		e.name = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
	return nil
}
