package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// framesAhead is the number of frames that are read ahead of the consumer.
const framesAhead = 16

var errClosed = errors.New("frame stream is closed")

// stream reads the events of one decode in its own goroutine, which Close ends.
type stream struct {
	client *Client
	body   io.ReadCloser
	cancel context.CancelFunc
	frames chan domain.Frame
	closed chan struct{}
	once   sync.Once
	// err is why frames was closed; it is set before that.
	err error
}

var _ ports.FrameStream = (*stream)(nil)

func newStream(c *Client, body io.ReadCloser, cancel context.CancelFunc) *stream {
	s := &stream{
		client: c,
		body:   body,
		cancel: cancel,
		frames: make(chan domain.Frame, framesAhead),
		closed: make(chan struct{}),
	}
	go s.run()
	return s
}

// Next implements ports.FrameStream.
func (s *stream) Next(ctx context.Context) (domain.Frame, error) {
	select {
	case frame, ok := <-s.frames:
		if !ok {
			return domain.Frame{}, s.err
		}
		return frame, nil
	case <-ctx.Done():
		return domain.Frame{}, ctx.Err()
	}
}

// Close implements ports.FrameStream.
func (s *stream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.cancel()
	})
	return nil
}

// run reads events until the stream ends, breaks or is closed.
func (s *stream) run() {
	defer close(s.frames)
	defer s.cancel()
	defer s.body.Close()
	reader := bufio.NewReader(s.body)
	for {
		ev, err := readEvent(reader)
		if err != nil {
			s.err = s.client.errorf(ports.EngineUnreachable, "the stream broke: %v", err)
			return
		}
		frame, err := s.handle(ev)
		if err != nil {
			s.err = err
			return
		}
		select {
		case s.frames <- frame:
		case <-s.closed:
			s.err = errClosed
			return
		}
	}
}

// handle turns an event into a frame or into the error that ends the stream.
func (s *stream) handle(ev event) (domain.Frame, error) {
	switch ev.kind {
	case eventEnd:
		return domain.Frame{}, io.EOF
	case eventError:
		w, ok := parseError([]byte(ev.data))
		if !ok {
			return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "the stream broke: %s", ev.data)
		}
		w.Upstream = s.client.upstream
		return domain.Frame{}, w.err()
	}
	var frame domain.Frame
	if err := json.Unmarshal([]byte(ev.data), &frame); err != nil {
		return domain.Frame{}, s.client.errorf(ports.EngineUnreachable, "unreadable frame: %v", err)
	}
	return frame, nil
}

// event is one server-sent event.
type event struct {
	kind string
	data string
}

// readEvent reads fields up to an empty line. Comments and unknown fields are
// skipped.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	seen := false
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if seen {
				return ev, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			ev.kind = value
		case "data":
			ev.data += value
			seen = true
		}
	}
}
