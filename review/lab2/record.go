package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run. Its times count from the
// start of the traffic.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &record{file: file, start: time.Now()}
}

// since returns the time since the start of the traffic.
func (r *record) since(at time.Time) time.Duration { return at.Sub(r.start) }

// note writes a line.
func (r *record) note(format string, values ...any) { r.noteAt(time.Now(), format, values...) }

func (r *record) noteAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since(at).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}
