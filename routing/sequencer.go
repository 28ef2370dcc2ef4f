package routing

import "greengagespoke/domain"

// maxReordered bounds the frames that wait for a missing one.
const maxReordered = 256

// sequencer puts the frames of an answer in order and drops doubled ones.
type sequencer struct {
	// next is the number of the next frame to deliver.
	next    int
	pending map[int]domain.Frame
}

func newSequencer(delivered int) sequencer {
	return sequencer{next: delivered + 1}
}

// accept takes a frame that is next in order. It returns false for a frame that
// must be held or dropped.
func (s *sequencer) accept(f domain.Frame) bool {
	if f.Number != s.next {
		return false
	}
	s.next++
	return true
}

// hold keeps a frame that arrived before its turn. It returns false where too
// many frames wait already.
func (s *sequencer) hold(f domain.Frame) bool {
	if f.Number < s.next {
		return true
	}
	if len(s.pending) >= maxReordered {
		return false
	}
	if s.pending == nil {
		s.pending = make(map[int]domain.Frame)
	}
	s.pending[f.Number] = f
	return true
}

// pop returns a held frame that is next in order.
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

// gap reports whether frames wait for a missing one.
func (s *sequencer) gap() bool { return len(s.pending) > 0 }

// delivered returns the number of the last frame delivered in order.
func (s *sequencer) delivered() int { return s.next - 1 }

// reset drops the held frames, as a resumed stream sends them again.
func (s *sequencer) reset() { clear(s.pending) }
