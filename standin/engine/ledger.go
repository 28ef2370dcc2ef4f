package engine

import (
	"sync"
	"time"

	"greengagespoke/domain"
)

// Ledger counts prefill work and executions over all engines of a fabric.
type Ledger struct {
	mu         sync.Mutex
	prefills   map[string]*prefillRecord
	began      map[domain.RequestKey]bool
	left       map[domain.RequestKey]time.Time
	executions map[domain.RequestKey]int
}

// prefillRecord is one prefill that an engine began.
type prefillRecord struct {
	key     domain.RequestKey
	started time.Time
	tokens  int
	used    bool
}

// PrefillTotals sums prefill work in tokens. A prefill is wasted when no frame
// of a decode that used it reached its reader.
type PrefillTotals struct {
	Computed int
	Wasted   int
	// WastedCallerLeft is wasted work whose caller left after it began. It is
	// not part of Wasted.
	WastedCallerLeft int
}

func newLedger() *Ledger {
	return &Ledger{
		prefills:   make(map[string]*prefillRecord),
		began:      make(map[domain.RequestKey]bool),
		left:       make(map[domain.RequestKey]time.Time),
		executions: make(map[domain.RequestKey]int),
	}
}

func (l *Ledger) prefillStarted(kv kvCache) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefills[kv.handle] = &prefillRecord{key: kv.id.Key(), started: time.Now()}
	l.began[kv.id.Key()] = true
}

func (l *Ledger) prefillEnded(kv kvCache, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.prefills[kv.handle]; r != nil {
		r.tokens = tokens
	}
}

func (l *Ledger) delivered(handle string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.prefills[handle]; r != nil {
		r.used = true
	}
}

func (l *Ledger) executed(key domain.RequestKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[key]++
}

// CallerLeft records that the caller of a request went away.
func (l *Ledger) CallerLeft(key domain.RequestKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.left[key]; !known {
		l.left[key] = time.Now()
	}
}

// Began says whether any engine began to work on a request.
func (l *Ledger) Began(key domain.RequestKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began[key]
}

// Executions returns how many attempts at a request emitted tokens.
func (l *Ledger) Executions(key domain.RequestKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[key]
}

// Prefills returns the totals. It is meant to be read when all work has settled,
// as a prefill that is still to be decoded counts as wasted.
func (l *Ledger) Prefills() PrefillTotals {
	return l.PrefillsOf(func(domain.RequestKey) bool { return true })
}

// PrefillsOf returns the totals of the requests for which match is true.
func (l *Ledger) PrefillsOf(match func(domain.RequestKey) bool) PrefillTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum PrefillTotals
	for _, r := range l.prefills {
		if !match(r.key) {
			continue
		}
		sum.Computed += r.tokens
		if r.used {
			continue
		}
		if left, gone := l.left[r.key]; gone && !left.Before(r.started) {
			sum.WastedCallerLeft += r.tokens
			continue
		}
		sum.Wasted += r.tokens
	}
	return sum
}
