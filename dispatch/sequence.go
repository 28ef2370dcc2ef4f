package dispatch

import (
	"errors"
	"fmt"
	"io"
	"time"

	"greengagespoke/internal/eventstream"
	"greengagespoke/traffic"
)

// sequence is the order of the events of one stream that a caller gets, from one attempt or
// several.
type sequence struct {
	// last is the ID of the last event, or "".
	last string
	// read says that the attempt brought an event.
	read bool
}

// errNoEvents means that a response held no event. Nobody knows then whether the stream was
// complete before.
var errNoEvents = fmt.Errorf("%w: it holds no event", eventstream.ErrMalformed)

// next returns the next event of a stream. An event that does not follow the one before, and the
// end of a stream without any, are errors.
func (s *sequence) next(stream traffic.Stream, wait time.Duration) (traffic.Event, error) {
	event, err := stream.Next(wait)
	switch {
	case errors.Is(err, io.EOF) && !s.read:
		return traffic.Event{}, &traffic.CallError{Effect: traffic.EffectUnknown, Err: errNoEvents}
	case err != nil || event.ID == "" && s.read:
		return event, err
	case event.ID == "":
		return s.next(stream, wait) // Comments of a response that holds no event.
	}
	if err := eventstream.Follows(s.last, event.ID); err != nil {
		return traffic.Event{}, &traffic.CallError{Effect: traffic.EffectUnknown, Err: err}
	}
	s.last, s.read = event.ID, true
	return event, nil
}
