package membudget

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// firstStep is the size of the first buffer of a body of a declared length.
	firstStep = 64 << 10
	// firstUndeclaredStep is that of a body without a length, which is small as a rule.
	firstUndeclaredStep = 2 << 10
	// declaredGrowth and undeclaredGrowth are how many times larger each buffer is than the one
	// before. A body of a declared length ends in a buffer of that very length; one without a
	// length leaves up to half of its last buffer unused.
	declaredGrowth   = 4
	undeclaredGrowth = 2
	// promiseCheck is the time in which promiseBytes of a body must come so that the room for all
	// of it stays taken: 64 KB/s, a twentieth of a link of 10 Mbit/s.
	promiseCheck = 2 * time.Second
	promiseBytes = 128 << 10
)

var (
	// ErrNoRoom means that there is no room for a body.
	ErrNoRoom = errors.New("there is no memory left for a body of this size; send it again later")
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than its limit")
)

// Body describes a body that is to be read.
type Body struct {
	// Use and Urgency are those of its claims.
	Use     Use
	Urgency int
	// Declared is its length, or negative if that is not known.
	Declared int64
	// Max is the largest allowed length, or 0.
	Max int64
}

// Read reads a body into memory that a hold takes. The room for all of a body of declared length is
// taken at first, so that what is begun can be finished. A body that stops coming keeps only a few
// times what has come of it. A body without a length gets room as it grows. Errors are ErrNoRoom,
// ErrTooLarge or those of the reader. With ErrNoRoom comes what has been read, which the hold keeps.
func Read(r io.Reader, body Body, h *Hold) ([]byte, error) {
	if body.Max > 0 && body.Declared > body.Max {
		return nil, ErrTooLarge
	}
	claim := Claim{Use: body.Use, Size: max(0, body.Declared), Urgency: body.Urgency}
	var text []byte
	var charged int64
	var err error
	if body.Declared >= 0 && body.Declared <= firstStep {
		text, charged, err = readAtOnce(r, claim, h)
	} else {
		a := &arrival{hold: h, claim: claim}
		text, err = a.read(r, body)
		a.end()
		charged = a.charged
	}
	switch {
	case errors.Is(err, ErrNoRoom):
		h.Refused(body.Use)
	case err != nil:
		h.discard(charged)
		h.Give(body.Use, charged)
		text = nil
	}
	return text, err
}

// readAtOnce reads a body that fits the first buffer.
func readAtOnce(r io.Reader, claim Claim, h *Hold) (text []byte, charged int64, err error) {
	cost := h.cost(claim.Size)
	if !h.Take(claim, cost) {
		return nil, 0, ErrNoRoom
	}
	text = make([]byte, claim.Size)
	_, err = io.ReadFull(r, text)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return text, cost, err
}

// arrival is a body that is being read.
type arrival struct {
	hold  *Hold
	claim Claim

	mu sync.Mutex
	// charged is the room that is taken, buffered the size of the buffer.
	charged, buffered int64
	// come is what has come of the body, checked what had come at the last check.
	come, checked int64
	ended         bool
	timer         *time.Timer
}

func (a *arrival) read(r io.Reader, body Body) ([]byte, error) {
	declared, size, growth := body.Declared, int64(firstStep), int64(declaredGrowth)
	if declared < 0 {
		size, growth = firstUndeclaredStep, undeclaredGrowth
	}
	if declared >= 0 && !a.takeAll(declared) {
		return nil, ErrNoRoom
	}
	var text []byte
	for {
		if size = a.next(size, body); !a.grow(size) {
			return text, ErrNoRoom
		}
		larger := make([]byte, len(text), size)
		copy(larger, text)
		text = larger
		for int64(len(text)) < size {
			n, err := r.Read(text[len(text):size])
			text = text[:len(text)+n]
			a.arrived(int64(n))
			switch {
			case body.Max > 0 && int64(len(text)) > body.Max:
				return nil, ErrTooLarge
			case errors.Is(err, io.EOF) && int64(len(text)) < declared:
				return nil, io.ErrUnexpectedEOF
			case errors.Is(err, io.EOF):
				return text, nil
			case err != nil:
				return nil, err
			}
		}
		if int64(len(text)) == declared {
			return text, nil
		}
		size *= growth
	}
}

// next returns the size of the next buffer. One byte more than the largest length tells a body of
// that length from a larger one.
func (a *arrival) next(size int64, body Body) int64 {
	if body.Declared >= 0 {
		return min(size, body.Declared)
	}
	if body.Max > 0 {
		return min(size, body.Max+1)
	}
	return size
}

// takeAll takes the room for a whole body.
func (a *arrival) takeAll(n int64) bool {
	cost := a.hold.cost(n)
	if !a.hold.Take(a.claim, cost) {
		return false
	}
	a.charged = cost
	a.timer = time.AfterFunc(promiseCheck, a.check)
	return true
}

// check keeps only the room for the buffer of a body that has stopped coming.
func (a *arrival) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	if a.come-a.checked >= promiseBytes {
		a.checked = a.come
		a.timer.Reset(promiseCheck)
		return
	}
	if unused := a.charged - a.hold.cost(a.buffered); unused > 0 {
		a.hold.Give(a.claim.Use, unused)
		a.charged -= unused
	}
}

// grow takes what room is lacking for a larger buffer.
func (a *arrival) grow(size int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claim.Size = max(a.claim.Size, size)
	if lacking := a.hold.cost(size) - a.charged; lacking > 0 {
		if !a.hold.Take(a.claim, lacking) {
			return false
		}
		a.charged += lacking
	}
	a.hold.discard(a.buffered)
	a.buffered = size
	return true
}

func (a *arrival) arrived(n int64) {
	a.mu.Lock()
	a.come += n
	a.mu.Unlock()
}

func (a *arrival) end() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
}
