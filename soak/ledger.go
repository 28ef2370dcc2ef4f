package soak

import (
	"fmt"
	"sync"
)

// kind is a kind of request.
type kind int

const (
	kindFiling kind = iota
	kindStatus
	kindDraft
	kindNote
)

var kindPaths = map[kind]string{kindFiling: "/filing/x", kindStatus: "/status/x", kindDraft: "/draft/x", kindNote: "/note/x"}

// once says that a request of the kind may run at most once.
func (k kind) once() bool { return k == kindFiling || k == kindDraft }

// attempts is the number of workers that a request of the kind may be sent to.
func (k kind) attempts() int {
	if k.once() {
		return 1
	}
	return 2
}

// sent is what a caller knows of one request.
type sent struct {
	id     string
	kind   kind
	host   string
	status int
	// promised says that the answer states that the request did not run.
	promised bool
}

// ledger holds the requests of a run and what was found wrong.
type ledger struct {
	mu       sync.Mutex
	requests []sent
	findings []string
	statuses map[int]int
}

func newLedger() *ledger { return &ledger{statuses: make(map[int]int)} }

func (l *ledger) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, s)
	l.statuses[s.status]++
}

func (l *ledger) find(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

// check compares what callers were told with what ran. runs returns how often a request ran,
// workers on how many processes.
func (l *ledger) check(runs, workers func(id string) int) {
	l.mu.Lock()
	requests := append([]sent(nil), l.requests...)
	l.mu.Unlock()
	for _, s := range requests {
		n := runs(s.id)
		if used := workers(s.id); used > s.kind.attempts() {
			l.find("request %s to %s (%s) ran on %d workers, allowed are %d", s.id, s.host, kindPaths[s.kind], used, s.kind.attempts())
		}
		if s.kind.once() && n > 1 {
			l.find("request %s to %s (%s) ran %d times", s.id, s.host, kindPaths[s.kind], n)
		}
		if s.kind.once() && s.promised && n > 0 {
			l.find("request %s to %s was answered %d, which says it did not run, and ran %d times", s.id, s.host, s.status, n)
		}
	}
}
