// Package eventstream says what is a stream of server-sent events: which bytes are an event, and
// which event may follow another one. It is used for each attempt of a request, and for what
// another host passes on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"slices"
	"strconv"
)

// MediaType is the content type of streams.
const MediaType = "text/event-stream"

const (
	// maxEventBytes bounds the size of one event, with the comments before it.
	maxEventBytes = 256 << 10
	// maxQuotedBytes bounds the part of a line that an error quotes.
	maxQuotedBytes = 32
	// maxFirstID is the largest identifier of the first event of a stream.
	maxFirstID = 1
	// byteOrderMark may begin a stream.
	byteOrderMark = "\ufeff"
)

var (
	// ErrMalformed means that a body is not a stream of events, or not the one that is expected.
	ErrMalformed = errors.New("the body is not the stream that is expected; check the upstream")
	// ErrTruncated means that a body ended in the middle of an event.
	ErrTruncated = errors.New("the stream ended inside an event")
	// ErrTooLarge means that an event is longer than this system forwards.
	ErrTooLarge = errors.New("an event of the stream is too large; the upstream must send smaller ones")
	// ErrNoMemory means that there is no memory for an event.
	ErrNoMemory = errors.New("there is no memory left for an event of the stream; it may be resumed later")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// CheckType returns an error if the content type of a response is not that of a stream. A
// response without a content type is judged by its body.
func CheckType(contentType string) error {
	if contentType == "" || IsStream(contentType) {
		return nil
	}
	return malformed("its content type is %.*q", maxQuotedBytes, contentType)
}

// IsStream reports whether a content type is that of a stream, with any parameters.
func IsStream(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == MediaType
}

// Follows returns an error unless the event next is the one after the event last, which is empty
// before the first event of a stream. Identifiers are consecutive numbers, so that a gap shows.
func Follows(last, next string) error {
	n, err := number(next)
	if err != nil {
		return err
	}
	if last == "" {
		if n > maxFirstID {
			return malformed("it begins with event %d", n)
		}
		return nil
	}
	l, err := number(last)
	if err != nil {
		return err
	}
	if n != l+1 {
		return malformed("event %d follows event %d", n, l)
	}
	return nil
}

// number returns the number that an identifier is.
func number(id string) (uint64, error) {
	n, err := strconv.ParseUint(id, 10, 63)
	if err != nil {
		return 0, malformed("the event id %.*q is not a number", maxQuotedBytes, id)
	}
	return n, nil
}

// CheckID returns an error if an identifier is not one of an event.
func CheckID(id string) error {
	_, err := number(id)
	return err
}

// Reader splits a body into events.
type Reader struct {
	src *bufio.Reader
	// fields are the names of further fields that events may have.
	fields []string
	// resumed means that the body goes on after events of another one.
	resumed bool
	// admit, unless nil, reports whether there is memory for an event of at least n bytes.
	admit func(n int) bool
	// begun says that the first line has been read, afterCR that the last one ended with a
	// carriage return, which a line feed may follow.
	begun, afterCR bool
}

// NewReader returns a reader of a body. Beside those of the standard, fields of the given names may
// be in events. resumed says that the body goes on after events of another one, so that it is
// passed on without a byte order mark.
func NewReader(body io.Reader, resumed bool, fields ...string) *Reader {
	return &Reader{src: bufio.NewReader(body), resumed: resumed, fields: fields}
}

// Admit sets a function that reports whether there is memory for an event of at least n bytes. It is
// asked whenever more of a long event has come.
func (r *Reader) Admit(admit func(n int) bool) { r.admit = admit }

// checkSize returns an error if an event of which n bytes have come is given up.
func (r *Reader) checkSize(n int) error {
	if n > maxEventBytes {
		return ErrTooLarge
	}
	if r.admit != nil && !r.admit(n) {
		return ErrNoMemory
	}
	return nil
}

// block is what has been read of an event.
type block struct {
	id string
	// lines says that it has begun, data that it has data, other that it has a field that is
	// unknown.
	lines, data, other bool
}

// Next returns the next event as it came, with the comments before it, and its identifier. The
// identifier is empty for comments behind the last event. Errors are io.EOF at the end of a body
// whose last event is whole, ErrTruncated, ErrTooLarge, one that wraps ErrMalformed, or those of
// reading the body.
func (r *Reader) Next() (id string, raw []byte, err error) {
	var b block
	for {
		line, err := r.readLine(&raw)
		if errors.Is(err, io.EOF) {
			return "", raw, r.end(b, raw, line)
		}
		if err != nil {
			return "", nil, err
		}
		if len(line) > 0 {
			b.lines = true
			if err := b.add(line, r.fields); err != nil {
				return "", nil, err
			}
			continue
		}
		whole, err := b.end()
		if err != nil {
			return "", nil, err
		}
		if whole {
			return b.id, raw, nil
		}
		b = block{}
	}
}

// end returns the error at the end of a body: nil if comments are left to be passed on.
func (r *Reader) end(b block, raw, line []byte) error {
	switch {
	case b.lines || len(line) > 0:
		return ErrTruncated
	case len(raw) == 0:
		return io.EOF
	default:
		return nil
	}
}

// end ends a block with an empty line. It reports whether it is an event.
func (b *block) end() (whole bool, err error) {
	switch {
	case b.id != "" && b.data:
		return true, nil
	case b.id != "":
		return false, malformed("event %s has no data", b.id)
	case b.data:
		return false, malformed("an event has no id")
	case b.other:
		return false, malformed("it has lines that belong to no event")
	default:
		return false, nil // Comments, a retry time.
	}
}

// add adds a line to the block.
func (b *block) add(line []byte, fields []string) error {
	name, value, colon := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return nil // A comment.
	case "event", "retry":
	case "data":
		b.data = true
	case "id":
		id := string(bytes.TrimSpace(value))
		if b.id != "" {
			return malformed("event %s has another id", b.id)
		}
		if err := CheckID(id); err != nil {
			return err
		}
		b.id = id
	default:
		if !colon || !isWord(name) && !slices.Contains(fields, string(name)) {
			return malformed("the line %.*q is not one of an event", maxQuotedBytes, line)
		}
		b.other = true
	}
	return nil
}

// isWord reports whether a name is a lowercase word, as those of the standard are. The standard
// has unknown fields ignored. Names as they are in heads of responses are none.
func isWord(name []byte) bool {
	return !bytes.ContainsFunc(name, func(c rune) bool { return c < 'a' || c > 'z' })
}

// readLine appends the next line to raw, as it came, and returns the line without its end. At the
// end of the body it returns io.EOF and what there is of a line.
func (r *Reader) readLine(raw *[]byte) ([]byte, error) {
	start := len(*raw)
	for {
		if _, err := r.src.Peek(1); err != nil {
			return (*raw)[start:], err
		}
		buffered, _ := r.src.Peek(r.src.Buffered()) // Does not read.
		if r.afterCR {
			r.afterCR = false
			if buffered[0] == '\n' {
				r.take(raw, 1)
				start++
				continue
			}
		}
		i := bytes.IndexAny(buffered, "\r\n")
		if i < 0 {
			r.take(raw, len(buffered))
			if err := r.checkSize(len(*raw)); err != nil {
				return nil, err
			}
			continue
		}
		ending := 1
		if buffered[i] == '\r' {
			if i+1 == len(buffered) {
				r.afterCR = true
			} else if buffered[i+1] == '\n' {
				ending = 2
			}
		}
		r.take(raw, i+ending)
		if err := r.checkSize(len(*raw)); err != nil {
			return nil, err
		}
		line := (*raw)[start : len(*raw)-ending]
		return r.withoutMark(raw, line), nil
	}
}

// take moves bytes from the buffer to raw.
func (r *Reader) take(raw *[]byte, n int) {
	buffered, _ := r.src.Peek(n)
	*raw = append(*raw, buffered...)
	_, _ = r.src.Discard(n) // The bytes are buffered.
}

// withoutMark returns a line without the byte order mark that the first one may begin with. The
// mark is not passed on within a stream.
func (r *Reader) withoutMark(raw *[]byte, line []byte) []byte {
	if r.begun {
		return line
	}
	r.begun = true
	line, marked := bytes.CutPrefix(line, []byte(byteOrderMark))
	if marked && r.resumed {
		*raw = bytes.TrimPrefix(*raw, []byte(byteOrderMark))
	}
	return line
}
