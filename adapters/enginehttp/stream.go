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

// readBufferBytes is the size of a stream's read buffer. A typical event fits in
// it; longer lines are assembled from several reads.
const readBufferBytes = 1024

var errClosed = errors.New("frame stream is closed")

// stream implements ports.FrameStream. It reads the events of one decode in the
// goroutine that calls Next.
type stream struct {
	client *Client
	body   io.ReadCloser
	// cancel aborts the HTTP request and closes its connection.
	cancel context.CancelFunc
	reader *bufio.Reader
	// The end of watchedCtx calls cancel; unwatch removes that callback.
	watchedCtx context.Context
	unwatch    func() bool
	// err is why the stream ended.
	err error
	// longLine and data are buffers that are reused for all events.
	longLine, data []byte
}

var _ ports.FrameStream = (*stream)(nil)

func newStream(c *Client, body io.ReadCloser, cancel context.CancelFunc) *stream {
	return &stream{
		client: c,
		body:   body,
		cancel: cancel,
		reader: bufio.NewReaderSize(body, readBufferBytes),
	}
}

// Next implements ports.FrameStream. If ctx ends while Next waits, the stream ends
// and Next returns the context's error.
func (s *stream) Next(ctx context.Context) (domain.Frame, error) {
	if s.err != nil {
		return domain.Frame{}, s.err
	}
	s.watchContext(ctx)
	frame, err := s.next()
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	s.err = err
	return frame, err
}

// watchContext cancels the request when ctx ends. It does nothing if ctx is the
// context of the previous call, so passing the same context each time is cheap.
func (s *stream) watchContext(ctx context.Context) {
	if ctx == s.watchedCtx {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watchedCtx = ctx
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

// next reads one event and returns its frame or the error that ends the stream.
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
		return domain.Frame{}, w.engineError()
	}
	var frame domain.Frame
	if err := json.Unmarshal(s.data, &frame); err != nil {
		return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "unreadable frame: %v", err)
	}
	return frame, nil
}

// readEvent reads fields up to an empty line, returns the event's type and stores
// its data in s.data. It skips comments, unknown fields and events without data.
func (s *stream) readEvent() (kind string, err error) {
	s.data = s.data[:0]
	hasData := false
	for {
		line, err := s.readLine()
		if err != nil {
			return "", err
		}
		if len(line) == 0 {
			if hasData {
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
			hasData = true
		}
	}
}

// readLine returns a line without its line terminator. The slice is valid until
// the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = s.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			s.longLine = append(s.longLine, line...)
			line, err = s.reader.ReadSlice('\n')
		}
		s.longLine = append(s.longLine, line...)
		line = s.longLine
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
