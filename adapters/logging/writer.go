package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the number of lines that wait for a slow reader of the log.
// Further lines are dropped and counted.
const maxQueuedLines = 4096

// Writer queues lines and writes them from a separate goroutine, so that a slow
// reader of the log does not block the code that logs. It implements io.Writer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// Close writes the queued lines and stops the goroutine. Later lines are not written.
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
		_, _ = out.Write(line) // A write error of the log cannot be reported anywhere.
	}
}
