package quota

import (
	"math"
	"time"
)

// sliceLength is the resolution of a grantLog: about a hundred entries in a window.
const sliceLength = 100 * time.Millisecond

// grantLog is a sum over a sliding window, with entries that may be reduced later. The zero value
// is empty.
type grantLog struct {
	slices []slice
	total  float64
}

// slice holds what was added in one sliceLength.
type slice struct {
	index  int64
	tokens float64
}

// expire removes what was added before the window that ends now.
func (l *grantLog) expire(now, window time.Duration) {
	gone := 0
	for gone < len(l.slices) && time.Duration(l.slices[gone].index+1)*sliceLength <= now-window {
		l.total -= l.slices[gone].tokens
		gone++
	}
	if gone == 0 {
		return
	}
	l.slices = append(l.slices[:0], l.slices[gone:]...)
	if len(l.slices) == 0 {
		l.total = 0 // Rounding errors do not add up.
	}
}

func (l *grantLog) add(now time.Duration, tokens float64) {
	index := int64(now / sliceLength)
	if n := len(l.slices); n > 0 && l.slices[n-1].index == index {
		l.slices[n-1].tokens += tokens
	} else {
		l.slices = append(l.slices, slice{index, tokens})
	}
	l.total += tokens
}

// sum returns the sum of the window that ends now.
func (l *grantLog) sum(now, window time.Duration) float64 {
	total := l.total
	for _, s := range l.slices {
		if time.Duration(s.index+1)*sliceLength <= now-window {
			total -= s.tokens
		}
	}
	return total
}

// remove takes off what was added at about a time, or before, and returns how much it was. It takes
// nothing off later entries: those stay in the window for longer.
func (l *grantLog) remove(at time.Duration, tokens float64) float64 {
	newest := int64(at/sliceLength) + 1 // The times of two hosts differ by that of a message.
	removed := 0.0
	for i := len(l.slices) - 1; i >= 0 && removed < tokens; i-- {
		if s := &l.slices[i]; s.index <= newest {
			part := min(s.tokens, tokens-removed)
			s.tokens -= part
			removed += part
		}
	}
	l.total -= removed
	return removed
}

// wait returns the time until tokens may be added so that the sum of a window is at most limit. The
// log must be expired.
func (l *grantLog) wait(now, window time.Duration, tokens, limit float64) time.Duration {
	left := l.total
	if left+tokens <= limit {
		return 0
	}
	for _, s := range l.slices {
		left -= s.tokens
		if left+tokens <= limit {
			return time.Duration(s.index+1)*sliceLength + window - now
		}
	}
	return window // More than the limit of a window is never granted.
}

// bucket is the token bucket of one part of a quota.
type bucket struct {
	tokens   float64
	filledAt time.Duration
}

// fill adds the tokens of the time since it was filled last, except that before from. A bucket that
// was filled before start begins empty at start.
func (b *bucket) fill(now, start, from time.Duration, rate, capacity float64) {
	if b.filledAt < start {
		b.tokens, b.filledAt = min(0, b.tokens), start
	}
	if since := max(b.filledAt, from); now > since {
		b.tokens += rate * (now - since).Seconds()
	}
	b.filledAt = max(b.filledAt, now)
	b.tokens = min(b.tokens, capacity)
}

// wait returns the time until a number of tokens may be taken. More than the capacity may be taken
// from a full bucket, which is then in debt.
func (b *bucket) wait(tokens, rate, capacity float64) time.Duration {
	missing := min(tokens, capacity) - b.tokens
	if missing <= 0 {
		return 0
	}
	return seconds(missing / rate)
}

// seconds converts a number of seconds, at most longestWait.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > longestWait.Seconds() {
		return longestWait
	}
	return time.Duration(s * float64(time.Second))
}

// meter measures the tokens of the last second, by the whole seconds of the clock.
type meter struct {
	second        int64
	current, last float64
}

func (m *meter) advance(now time.Duration) {
	second := int64(now / time.Second)
	switch {
	case second == m.second+1:
		m.last, m.current = m.current, 0
	case second != m.second:
		m.last, m.current = 0, 0
	}
	m.second = second
}

func (m *meter) add(now time.Duration, tokens float64) {
	m.advance(now)
	m.current += tokens
}

// perSecond returns the greater one of the last whole second and of the current one so far.
func (m *meter) perSecond(now time.Duration) float64 {
	m.advance(now)
	return max(m.last, m.current)
}
