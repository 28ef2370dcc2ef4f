package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// readBuffer is the size of a stream's read buffer in bytes. An event fits in it;
// a longer one is put together from parts.
const readBuffer = 1024

var errClosed = errors.New("frame stream is closed")

// stream reads the events of one decode in the goroutine that calls Next.
type stream struct {
	client *Client
	body   io.ReadCloser
	// cancel breaks the connection.
	cancel context.CancelFunc
	reader *bufio.Reader
	// watched is the context whose end breaks the connection, and unwatch ends
	// that.
	watched context.Context
	unwatch func() bool
	// err is why the stream ended.
	err error
	// long and data are reused from event to event.
	long, data []byte
}

var _ ports.FrameStream = (*stream)(nil)

func newStream(c *Client, body io.ReadCloser, cancel context.CancelFunc) *stream {
	return &stream{
		client: c,
		body:   body,
		cancel: cancel,
		reader: bufio.NewReaderSize(body, readBuffer),
	}
}

// Next implements ports.FrameStream. A context that ends while Next waits ends
// the stream.
func (s *stream) Next(ctx context.Context) (domain.Frame, error) {
	if s.err != nil {
		return domain.Frame{}, s.err
	}
	s.watch(ctx)
	frame, err := s.next()
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	s.err = err
	return frame, err
}

// watch breaks the connection when ctx ends. It costs nothing where each call
// brings the same context.
func (s *stream) watch(ctx context.Context) {
	if ctx == s.watched {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watched = ctx
	s.unwatch = context.AfterFunc(ctx, s.cancel)
}

// Close implements ports.FrameStream.
func (s *stream) Close() error {
	if s.unwatch != nil {
		s.unwatch()
	}
	s.cancel()
	if s.err == nil {
		s.err = errClosed
	}
	return s.body.Close()
}

// next reads one event and turns it into a frame or into the error that ends
// the stream.
func (s *stream) next() (domain.Frame, error) {
	kind, err := s.readEvent()
	if err != nil {
		return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "the stream broke: %v", err)
	}
	switch kind {
	case eventEnd:
		return domain.Frame{}, io.EOF
	case eventError:
		w, ok := parseError(s.data)
		if !ok {
			return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "the stream broke: %s", s.data)
		}
		w.Upstream = s.client.upstream
		return domain.Frame{}, w.err()
	}
	var frame domain.Frame
	if err := json.Unmarshal(s.data, &frame); err != nil {
		return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "unreadable frame: %v", err)
	}
	return frame, nil
}

// readEvent reads fields up to an empty line and returns the event's kind. Its
// data is left in s.data. Comments and unknown fields are skipped.
func (s *stream) readEvent() (kind string, err error) {
	s.data = s.data[:0]
	seen := false
	for {
		line, err := s.readLine()
		if err != nil {
			return "", err
		}
		if len(line) == 0 {
			if seen {
				return kind, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			kind = string(value)
		case "data":
			s.data = append(s.data, value...)
			seen = true
		}
	}
}

// readLine returns a line without its end. It is valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.long = s.long[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			s.long = append(s.long, line...)
			line, err = s.reader.ReadSlice('\n')
		}
		s.long = append(s.long, line...)
		line = s.long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
