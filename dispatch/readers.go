package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	// ownReadFactor is how much longer a decode engine takes to read a prompt than a
	// prefill engine without a queue: twice by the platform's engines, and the
	// tokens of its other requests wait meanwhile.
	ownReadFactor = 5
	// rateFade is the part of the best reading rate that is kept with each prompt,
	// so that a rate which no engine has any more is forgotten.
	rateFade = 0.995
)

// readers decides which engine reads a prompt. It learns how fast prompts are read
// without a queue.
type readers struct {
	mu sync.Mutex
	// rates holds the best rate lately by service, in tokens per second.
	rates map[traffic.ServiceName]float64
}

func newReaders() *readers { return &readers{rates: make(map[traffic.ServiceName]float64)} }

// read takes how long a prompt took to be read.
func (r *readers) read(service traffic.ServiceName, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rates[service] = max(rateFade*r.rates[service], float64(tokens)/took.Seconds())
}

// ownTime is the delay above which a decode engine reads a prompt sooner itself,
// or 0 where no rate is known.
func (r *readers) ownTime(service traffic.ServiceName, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rates[service]
	if rate == 0 {
		return 0
	}
	return time.Duration(ownReadFactor * float64(tokens) / rate * float64(time.Second))
}

// pick returns the prefill engine of least expected delay, and that delay.
func (r *readers) pick(engines []candidate, zone domain.Zone) (*traffic.Upstream, time.Duration) {
	var best *traffic.Upstream
	var least, delay time.Duration
	for _, c := range engines {
		expected := c.health.latency * time.Duration(1+c.health.active)
		cost := expected + time.Duration(c.health.failure*float64(failureCost)) + rand.N(spreadCost) + c.connectCost()
		if c.up.Zone != zone {
			cost += zoneCost
		}
		if best == nil || cost < least {
			best, least, delay = c.up, cost, expected
		}
	}
	return best, delay
}
