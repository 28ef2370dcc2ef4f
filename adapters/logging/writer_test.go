package logging

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// stuckOut blocks until it is let go, as a pipe that nobody reads.
type stuckOut struct {
	free chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (o *stuckOut) Write(p []byte) (int, error) {
	<-o.free
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// A log that nobody reads blocks no writer, keeps a bounded number of lines, and
// says how many it dropped.
func TestLogNeverBlocksAndIsBounded(t *testing.T) {
	out := &stuckOut{free: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queueLines
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < lines-queueLines-2 {
		t.Fatalf("%d of %d lines dropped with room for %d", dropped, lines, queueLines)
	}
	close(out.free)
	w.Close()
	got := out.text.String()
	if !strings.Contains(got, fmt.Sprintf("log lines dropped: %d\n", dropped)) {
		t.Fatal("the number of dropped lines was not told")
	}
	if n := strings.Count(got, "line "); n > queueLines+2 {
		t.Fatalf("%d lines kept", n)
	}
}
