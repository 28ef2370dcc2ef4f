package logging

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until unblock is closed, like a pipe that nobody reads.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *blockedWriter) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// A log without a reader must not block writers. It keeps a bounded number of lines
// and reports how many it dropped.
func TestLogNeverBlocksAndIsBounded(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if dropped := w.Dropped(); dropped > lines {
		t.Fatalf("%d of %d lines dropped", dropped, lines)
	}
	close(out.unblock)
	w.Close()
	// Drops may be reported several times while lines are written, so the reports
	// are added up.
	kept, dropped := 0, int(w.Dropped())
	for line := range strings.Lines(out.text.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "log lines dropped: %d", &n); err == nil {
			dropped += n
		} else {
			kept++
		}
	}
	if kept+dropped != lines {
		t.Fatalf("%d lines kept and %d reported as dropped, %d were written", kept, dropped, lines)
	}
	if kept > maxQueuedLines+2 {
		t.Fatalf("%d lines kept with room for %d", kept, maxQueuedLines)
	}
}
