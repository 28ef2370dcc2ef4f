package routing

import "greengagespoke/domain"

// maxBufferedFrames limits the frames that are buffered while one is missing.
const maxBufferedFrames = 256

// sequencer puts the frames of a response in order and drops duplicates.
type sequencer struct {
	// next is the number of the next frame to deliver.
	next    int
	pending map[int]domain.Frame
}

func newSequencer(delivered int) sequencer {
	return sequencer{next: delivered + 1}
}

// accept reports whether f is the next frame in order, and if so advances past
// it.
func (s *sequencer) accept(f domain.Frame) bool {
	if f.Number != s.next {
		return false
	}
	s.next++
	return true
}

// buffer stores a frame that arrived before its turn and drops a duplicate of
// a delivered one. It returns false if the buffer is full.
func (s *sequencer) buffer(f domain.Frame) bool {
	if f.Number < s.next {
		return true
	}
	if len(s.pending) >= maxBufferedFrames {
		return false
	}
	if s.pending == nil {
		s.pending = make(map[int]domain.Frame)
	}
	s.pending[f.Number] = f
	return true
}

// pop removes and returns the next frame in order if it is buffered.
func (s *sequencer) pop() (domain.Frame, bool) {
	if len(s.pending) == 0 {
		return domain.Frame{}, false
	}
	f, ok := s.pending[s.next]
	if !ok {
		return domain.Frame{}, false
	}
	delete(s.pending, s.next)
	s.next++
	return f, true
}

// hasGap reports whether frames are buffered because an earlier one is
// missing.
func (s *sequencer) hasGap() bool { return len(s.pending) > 0 }

// lastDelivered returns the number of the last frame that was delivered in
// order.
func (s *sequencer) lastDelivered() int { return s.next - 1 }

// reset drops the buffered frames, as a resumed stream sends them again.
func (s *sequencer) reset() { clear(s.pending) }
