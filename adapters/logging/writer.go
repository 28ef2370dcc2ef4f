package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines that wait for a slow reader of the log. More
// are dropped and counted.
const queueLines = 4096

// Writer passes lines on from a goroutine of its own, so that a slow reader of the
// log blocks nobody. It implements io.Writer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the goroutine. Later lines are dropped.
func (w *Writer) Close() {
	w.closing.Do(func() {
		w.lines <- nil
		<-w.done
	})
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "log lines dropped: %d\n", n), line...)
		}
		_, _ = out.Write(line) // There is nowhere to report a broken log.
	}
}
