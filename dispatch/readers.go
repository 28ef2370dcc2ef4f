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
	// decodePrefillFactor is the cost of a prefill on a decode engine relative to an
	// idle prefill engine. The platform's decode engines take twice as long, and the
	// tokens of their other requests are delayed meanwhile.
	decodePrefillFactor = 5
	// prefillRateDecay is applied to the best prefill rate with each prompt, so that
	// a rate that no engine reaches any more is discarded over time.
	prefillRateDecay = 0.995
)

const (
	// maxIdleTokens is the memory that an idle prefill engine may have in use. It is
	// less than a prompt of the users' model services.
	maxIdleTokens = 2000
	// maxIdleProbes bounds the engines that are probed for one prompt.
	maxIdleProbes = 6
	// idleProbeTimeout bounds one probe: a few round trips between availability zones.
	idleProbeTimeout = 50 * time.Millisecond
	// idleProbeTTL is the TTL of a probe's reservation, in case it is not released.
	idleProbeTTL = 100 * time.Millisecond
)

// prefillSelector chooses the engine that prefills a prompt. It learns the prefill
// rate of engines without a queue.
type prefillSelector struct {
	mu sync.Mutex
	// bestRates holds the best recent prefill rate of each service, in tokens per
	// second.
	bestRates map[traffic.ServiceName]float64
}

func newPrefillSelector() *prefillSelector {
	return &prefillSelector{bestRates: make(map[traffic.ServiceName]float64)}
}

// recordPrefill records the duration of a prefill.
func (r *prefillSelector) recordPrefill(service traffic.ServiceName, tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bestRates[service] = max(prefillRateDecay*r.bestRates[service], float64(tokens)/elapsed.Seconds())
}

// maxPrefillDelay returns the delay above which the decode engine would prefill the
// prompt sooner than a prefill engine, or 0 if no rate is known.
func (r *prefillSelector) maxPrefillDelay(service traffic.ServiceName, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.bestRates[service]
	if rate == 0 {
		return 0
	}
	return time.Duration(decodePrefillFactor * float64(tokens) / rate * float64(time.Second))
}

// pick returns the prefill engine with the least cost, and its expected delay.
func (r *prefillSelector) pick(engines []candidate, zone domain.Zone) (*traffic.Upstream, time.Duration) {
	var best *traffic.Upstream
	var leastCost, delay time.Duration
	for _, c := range engines {
		expected := c.health.meanLatency * time.Duration(1+c.health.activeCalls)
		cost := expected + time.Duration(c.health.failureRate*float64(failureCost)) + rand.N(maxTieBreakCost) + c.connectionCost()
		if c.up.Zone != zone {
			cost += crossZoneCost
		}
		if best == nil || cost < leastCost {
			best, leastCost, delay = c.up, cost, expected
		}
	}
	return best, delay
}

// choosePrefillEngine returns the prefill engine that is expected to finish the
// prompt first, and its expected delay. Hosts do not know of each other's prompts,
// so it probes the engines: only an idle one accepts a reservation of nearly all
// its memory. If no probed engine is idle, it returns the first choice. An engine with a
// rate limit is not probed, and is chosen if a grant is ready; the grant must be given back
// if it is not used. It returns nil if ctx ends, or if all engines are at their limits.
func (g *Gate) choosePrefillEngine(ctx context.Context, n *generation, engines []candidate, zone domain.Zone) (*traffic.Upstream, time.Duration) {
	var best *traffic.Upstream
	var delay time.Duration
	remaining := slices.Clone(engines)
	for range min(maxIdleProbes, len(engines)) {
		up, expected := g.prefillSelector.pick(remaining, zone)
		remaining = slices.DeleteFunc(remaining, func(c candidate) bool { return c.up == up })
		if g.cfg.RateLimits.Limited(up) {
			if g.cfg.RateLimits.TakeReady(up) {
				return up, expected
			}
			g.cfg.RateLimits.Prefetch(up)
			continue
		}
		if best == nil {
			best, delay = up, expected
		}
		if g.isIdle(ctx, n, up) {
			return up, expected
		}
		if ctx.Err() != nil {
			return nil, 0
		}
	}
	return best, delay
}

// isIdle reports whether a prefill engine accepts a reservation of nearly all its
// memory, and releases that reservation at once.
func (g *Gate) isIdle(ctx context.Context, n *generation, up *traffic.Upstream) bool {
	tokens := n.engine.MemoryTokens - maxIdleTokens
	if tokens <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, idleProbeTimeout)
	defer cancel()
	r, err := g.cfg.Upstreams.Reserve(ctx, up, tokens, idleProbeTTL)
	if err != nil {
		g.metrics.prefillBusy.Add(1)
		klog.V(1).InfoS("prefill engine not idle", "request", n.req.ID, "upstream", up.ID, "err", err)
		return false
	}
	g.releaseReservation(ctx, r)
	return true
}
