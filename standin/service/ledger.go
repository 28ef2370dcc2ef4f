package service

import (
	"sync"

	"greengagespoke/ports"
)

// Ledger counts the executions of a service over all its instances.
type Ledger struct {
	mu       sync.Mutex
	byKey    map[string]int
	byCall   map[string]int
	answers  map[string]Answer
	executed int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		byKey:   make(map[string]int),
		byCall:  make(map[string]int),
		answers: make(map[string]Answer),
	}
}

// execute runs a call, or returns the stored answer where the service checks keys.
func (l *Ledger) execute(req ports.ServiceRequest, cfg Config) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := req.Header.Get(KeyHeader)
	if stored, known := l.answers[key]; known && key != "" && cfg.ChecksKey {
		return stored
	}
	l.executed++
	l.byCall[req.Method+" "+req.Path]++
	answer := Answer{Upstream: cfg.Upstream.ID, Key: key, Execution: 1, Method: req.Method, Path: req.Path}
	if key != "" {
		l.byKey[key]++
		answer.Execution = l.byKey[key]
		l.answers[key] = answer
	}
	return answer
}

// Executed returns the number of executions.
func (l *Ledger) Executed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executed
}

// Executions returns how often the call with an idempotency key ran.
func (l *Ledger) Executions(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// ExecutionsOf returns how often a call ran, with "METHOD /path" as its name.
func (l *Ledger) ExecutionsOf(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byCall[call]
}

// Doubled returns the number of idempotency keys that ran more than once.
func (l *Ledger) Doubled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, count := range l.byKey {
		if count > 1 {
			n++
		}
	}
	return n
}
