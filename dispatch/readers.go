package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/promptcache"
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

// pick returns the index of the prefill engine with the least cost, or of another one that gains
// enough by what it holds, whether it is another one, and its expected delay. There must be an engine.
func (r *prefillSelector) pick(engines []candidate, zone domain.Zone) (chosen int, changed bool, delay time.Duration) {
	options := make([]promptcache.Option, len(engines))
	for i, c := range engines {
		penalty := time.Duration(c.health.failureRate*float64(failureCost)) + rand.N(maxTieBreakCost) + c.connectionCost()
		if c.up.Zone != zone {
			penalty += crossZoneCost
		}
		options[i] = promptcache.Option{Cost: c.expectedPrefill() + penalty, Wait: c.prefillWait() + penalty, Gain: c.weight.Gain, MaxWait: c.weight.MaxWait, Worth: c.weight.Worth}
	}
	chosen, changed = promptcache.Choose(options)
	delay = engines[chosen].expectedPrefill()
	if w := engines[chosen].weight; w.Worth && w.Busy > 0 {
		delay = min(delay, w.Busy+w.Call) // The calls in progress hold parts of their prompts, too.
	}
	return chosen, changed, delay
}

// expectedPrefill returns the expected delay of a prompt at the engine.
func (c candidate) expectedPrefill() time.Duration {
	return c.health.meanLatency * time.Duration(1+c.health.activeCalls)
}

// prefillWait returns the part of the expected delay that held tokens are weighed against: the
// prompts of this host before it, and the time by which the engine is slower than others. The mean
// latency alone would count against engines that were used lately, as it fades.
func (c candidate) prefillWait() time.Duration {
	wait := max(0, c.health.meanLatency-2*c.weight.Call)
	switch {
	case c.health.activeCalls == 0:
		return wait
	case c.weight.Busy > 0:
		return wait + c.weight.Busy
	default:
		return wait + c.weight.Queued*time.Duration(c.health.activeCalls) // Prompts of other hosts were before them.
	}
}

// prefillChoice is the engine that prefills a prompt. up is nil if there is none.
type prefillChoice struct {
	up    *traffic.Upstream
	delay time.Duration
	held  heldChoice
}

// choosePrefillEngine returns the prefill engine that is expected to finish the
// prompt first, and its expected delay. Hosts do not know of each other's prompts,
// so it probes the engines: only an idle one accepts a reservation of nearly all
// its memory. If no probed engine is idle, it returns the first choice. An engine with a
// rate limit is not probed, and is chosen if a grant is ready; the grant must be given back
// if it is not used. It returns none if ctx ends, or if all engines are at their limits.
func (g *Gate) choosePrefillEngine(ctx context.Context, n *generation, engines []candidate, zone domain.Zone) prefillChoice {
	g.weighHeld(n.inFlight, engines, time.Now())
	var best prefillChoice
	remaining := slices.Clone(engines)
	for range min(maxIdleProbes, len(engines)) {
		at, changed, delay := g.prefillSelector.pick(remaining, zone)
		next := prefillChoice{up: remaining[at].up, delay: delay, held: heldChoice{Weight: remaining[at].weight, changed: changed}}
		remaining = slices.Delete(remaining, at, at+1)
		if g.cfg.RateLimits.Limited(next.up) {
			if g.cfg.RateLimits.TakeReady(next.up) {
				return next
			}
			g.cfg.RateLimits.Prefetch(next.up)
			continue
		}
		if best.up == nil {
			best = next
		}
		if g.isIdle(ctx, n, next) {
			return next
		}
		if ctx.Err() != nil {
			return prefillChoice{}
		}
	}
	return best
}

// isIdle reports whether a prefill engine accepts a reservation of nearly all its
// memory, and releases that reservation at once. What the engine holds of the prompt, and is worth
// a choice, is left out: the engine might evict it for the reservation.
func (g *Gate) isIdle(ctx context.Context, n *generation, choice prefillChoice) bool {
	up := choice.up
	tokens := n.engine.MemoryTokens - maxIdleTokens
	if choice.held.matters() {
		tokens = max(1, tokens-choice.held.Held-choice.held.Spare)
	}
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
