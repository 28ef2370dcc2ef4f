package stages

import (
	"sync"
	"time"

	"greengagespoke/traffic"
)

// loadFade is the part of older requests that is kept with each newer one, so that
// about the last hundred count.
const loadFade = 0.99

// Loads learns the load of each service from the requests that a host serves. It
// is safe for concurrent use.
type Loads struct {
	mu        sync.Mutex
	byService map[traffic.ServiceName]Load
}

// NewLoads returns an empty record.
func NewLoads() *Loads { return &Loads{byService: make(map[traffic.ServiceName]Load)} }

// Of returns the load of a service.
func (l *Loads) Of(service traffic.ServiceName) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(service)
}

func (l *Loads) of(service traffic.ServiceName) Load {
	if load, ok := l.byService[service]; ok {
		return load
	}
	return UsualLoad()
}

// Served takes a request that ended: its prompt, and the memory that it held on a
// decode engine for a time.
func (l *Loads) Served(service traffic.ServiceName, promptTokens, heldTokens int, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.of(service)
	load.requests = loadFade*load.requests + 1
	load.prompt = loadFade*load.prompt + float64(promptTokens)
	load.held = loadFade*load.held + float64(heldTokens)*held.Seconds()
	l.byService[service] = load
}

// Read takes how long an engine took to read a prompt. Most prompts wait for others,
// so the best rate of the last ones counts.
func (l *Loads) Read(service traffic.ServiceName, promptTokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.of(service)
	load.readRate = max(loadFade*load.readRate, float64(promptTokens)/took.Seconds())
	l.byService[service] = load
}
