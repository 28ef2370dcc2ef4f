package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

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

const (
	// idleTokens is the memory that an idle prefill engine may have in use: less than
	// a prompt of the users' model services.
	idleTokens = 2000
	// idleTries bounds the engines that are asked whether they are idle.
	idleTries = 6
	// idleTimeout bounds the call that asks: a few round trips between zones.
	idleTimeout = 50 * time.Millisecond
	// idleLife is the life of the reservation that asks, in case it is not given
	// back.
	idleLife = 100 * time.Millisecond
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

// reader returns the prefill engine that reads a prompt soonest, and the delay to
// expect. Hosts do not know of each other's prompts, so it asks the engines: one has
// room for a reservation of nearly all its memory while it reads no prompt.
func (g *Gate) reader(ctx context.Context, n *generation, engines []candidate, zone domain.Zone) (*traffic.Upstream, time.Duration) {
	var best *traffic.Upstream
	var delay time.Duration
	open := slices.Clone(engines)
	for range min(idleTries, len(engines)) {
		up, expected := g.readers.pick(open, zone)
		if best == nil {
			best, delay = up, expected
		}
		if g.isIdle(ctx, n, up) {
			return up, expected
		}
		if ctx.Err() != nil {
			return nil, 0
		}
		open = slices.DeleteFunc(open, func(c candidate) bool { return c.up == up })
	}
	return best, delay
}

// isIdle asks a prefill engine for nearly all its memory and gives it back at once.
func (g *Gate) isIdle(ctx context.Context, n *generation, up *traffic.Upstream) bool {
	tokens := n.engine.MemoryTokens - idleTokens
	if tokens <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	r, err := g.cfg.Upstreams.Reserve(ctx, up, tokens, idleLife)
	if err != nil {
		g.counts.busyReaders.Add(1)
		klog.V(1).InfoS("prefill engine not idle", "request", n.req.ID, "upstream", up.ID, "err", err)
		return false
	}
	g.cfg.Upstreams.DropReservation(ctx, r)
	return true
}
