package stages

import (
	"sync"
	"time"

	"greengagespoke/traffic"
)

// loadDecay is the factor by which each request reduces the weight of the earlier ones,
// so that about the last hundred count.
const loadDecay = 0.99

// Loads tracks the load of each service from the requests that this host serves. It is
// safe for concurrent use.
type Loads struct {
	mu        sync.Mutex
	byService map[traffic.ServiceName]Load
}

// NewLoads returns a Loads in which every service has the default load.
func NewLoads() *Loads { return &Loads{byService: make(map[traffic.ServiceName]Load)} }

// Of returns the load of a service, or the default load if it has served no request.
func (l *Loads) Of(service traffic.ServiceName) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(service)
}

func (l *Loads) of(service traffic.ServiceName) Load {
	if load, ok := l.byService[service]; ok {
		return load
	}
	return DefaultLoad()
}

// RecordRequest records a finished request: the tokens of its prompt, and the memory in tokens
// that it held on a decode engine for the duration held.
func (l *Loads) RecordRequest(service traffic.ServiceName, promptTokens, heldTokens int, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.of(service)
	load.requests = loadDecay*load.requests + 1
	load.promptTokens = loadDecay*load.promptTokens + float64(promptTokens)
	load.heldTokenSeconds = loadDecay*load.heldTokenSeconds + float64(heldTokens)*held.Seconds()
	l.byService[service] = load
}

// RecordPrefill records the elapsed time of a prefill. Most prompts queue behind others, so the
// highest recent rate is taken as the rate of an engine.
func (l *Loads) RecordPrefill(service traffic.ServiceName, promptTokens int, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.of(service)
	load.prefillTokensPerSecond = max(loadDecay*load.prefillTokensPerSecond, float64(promptTokens)/elapsed.Seconds())
	l.byService[service] = load
}
