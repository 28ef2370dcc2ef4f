package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/promptcache"
	"greengagespoke/traffic"
)

const (
	// crossZoneCost is the extra cost of an upstream in another availability zone:
	// about two one-way delays between zones.
	crossZoneCost = 10 * time.Millisecond
	// failureCost is the cost of a failure rate of 1: about the time that a caller
	// of a plain service loses by a failed call.
	failureCost = 500 * time.Millisecond
	// activeCallCost is the cost of one call in flight: about the duration of a plain
	// call.
	activeCallCost = 15 * time.Millisecond
	// newConnectionCost is the extra cost of an upstream without an idle connection:
	// upstreams limit their connections, and opening one takes a round trip.
	newConnectionCost = 10 * time.Millisecond
	// maxTieBreakCost bounds the random cost that breaks ties between equal
	// upstreams, so that hosts do not all choose the same one.
	maxTieBreakCost = 5 * time.Millisecond
	// maxGrantWait is the time after which a request asks for no further grant if all
	// upstreams state rate limits.
	maxGrantWait = 100 * time.Millisecond
	// maxRateRetryAfter is the longest retry delay that is reported if all upstreams are at
	// their rate limits.
	maxRateRetryAfter = 3 * time.Second
	// maxRestRetryAfter is the longest retry delay that is reported if all upstreams asked for
	// rest: others may come meanwhile.
	maxRestRetryAfter = 30 * time.Second
)

// candidate is an upstream with its health as this host observed it.
type candidate struct {
	up     *traffic.Upstream
	health health
	// connected says that an idle connection to the upstream exists.
	connected bool
	// weight is what the engine holds of the prompt.
	weight promptcache.Weight
	// eventTime is the time of its streams for each event relative to other engines, 0 if they do
	// not differ.
	eventTime float64
}

// candidates returns the healthy upstreams of a service for which eligible returns
// true. If all of them have rate limits, or there are none, it also returns the unhealthy ones.
func (g *Gate) candidates(service traffic.ServiceName, now time.Time, eligible func(*traffic.Upstream) bool) []candidate {
	healthy, unhealthy := g.observed(service, now, eligible)
	for _, c := range unhealthy {
		if t := g.stats.forUpstream(c.up); t.beginProbe(now) {
			go g.probe(c.up, t)
		}
	}
	return g.usable(healthy, unhealthy)
}

// observed returns the upstreams of a service for which eligible returns true.
func (g *Gate) observed(service traffic.ServiceName, now time.Time, eligible func(*traffic.Upstream) bool) (healthy, unhealthy []candidate) {
	for _, up := range g.cfg.Catalog.Ready(service) {
		if !eligible(up) {
			continue
		}
		c := candidate{up: up, health: g.stats.forUpstream(up).health(now), connected: g.cfg.Upstreams.Connected(up)}
		if c.health.unhealthy {
			unhealthy = append(unhealthy, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	return healthy, unhealthy
}

// usable returns the healthy candidates, and the others if all of these have rate limits or there are
// none.
func (g *Gate) usable(healthy, unhealthy []candidate) []candidate {
	if slices.ContainsFunc(healthy, func(c candidate) bool { return !g.cfg.RateLimits.Limited(c.up) }) {
		return healthy
	}
	return append(healthy, unhealthy...)
}

// probe finds out whether an upstream that is out of rotation is reached again, so that no
// request has to. Listening bounds its time.
func (g *Gate) probe(up *traffic.Upstream, t *upstreamStats) {
	listening, err := g.cfg.Upstreams.Listening(context.Background(), up)
	t.endProbe(err == nil && listening, time.Now())
}

// cost estimates the time lost by choosing the candidate.
func (c candidate) cost(zone domain.Zone) time.Duration {
	return c.costs(zone).sum() + c.tieBreak()
}

// costs holds what the cost of a candidate is made of, but for the tie-break.
type costs struct{ latency, activeCalls, failures, otherZone, newConnection time.Duration }

func (c costs) sum() time.Duration {
	return c.latency + c.activeCalls + c.failures + c.otherZone + c.newConnection
}

func (c candidate) costs(zone domain.Zone) costs {
	parts := costs{
		latency: c.health.meanLatency, activeCalls: time.Duration(c.health.activeCalls) * activeCallCost,
		failures: time.Duration(c.health.failureRate * float64(failureCost)), newConnection: c.connectionCost(),
	}
	if c.up.Zone != zone {
		parts.otherZone = crossZoneCost
	}
	return parts
}

// connectionCost is the cost of opening a connection to the candidate, if needed.
func (c candidate) connectionCost() time.Duration {
	if c.connected {
		return 0
	}
	return newConnectionCost
}

// pickCheapest returns the index of the candidate with the least cost, or of another one that gains
// enough by what it holds, and whether it is another one. There must be a candidate.
func pickCheapest(from []candidate, zone domain.Zone) (chosen int, changed bool) {
	options := make([]promptcache.Option, len(from))
	for i, c := range from {
		cost := c.cost(zone)
		options[i] = promptcache.Option{Cost: cost, Wait: cost, Gain: c.weight.Gain, MaxWait: c.weight.MaxWait, Worth: c.weight.Worth}
	}
	return promptcache.Choose(options)
}

// takeCheapest returns the cheapest candidate that its rate limit allows to be sent a
// request. limited reports that only rate limits keep the request from the candidates.
// Only if there is no other one, the request waits for the grant of a limited candidate.
func (g *Gate) takeCheapest(ctx context.Context, from []candidate) (up *traffic.Upstream, limited bool) {
	up, _, limited = g.takeBest(ctx, from)
	return up, limited
}

// takeBest does the same, and says what was expected to be held there.
func (g *Gate) takeBest(ctx context.Context, from []candidate) (up *traffic.Upstream, held heldChoice, limited bool) {
	remaining := slices.Clone(from)
	var notReady []*traffic.Upstream
	for len(remaining) > 0 && up == nil {
		at, changed := pickCheapest(remaining, g.cfg.Zone)
		next := remaining[at].up
		if g.cfg.RateLimits.TakeReady(next) {
			up, held = next, heldChoice{Weight: remaining[at].weight, changed: changed, eventTime: remaining[at].eventTime}
		} else {
			notReady = append(notReady, next)
		}
		remaining = slices.Delete(remaining, at, at+1)
	}
	giveUp := time.Now().Add(maxGrantWait)
	for _, next := range notReady {
		switch {
		case up != nil || ctx.Err() != nil || time.Now().After(giveUp):
			g.cfg.RateLimits.Prefetch(next)
		case g.cfg.RateLimits.Take(ctx, next):
			up = next
		}
	}
	return up, held, up == nil && len(from) > 0
}

// rateLimitedRefusal is the refusal of a request if all upstreams that it may be sent to are at
// the rate limits that they state, or asked for rest. A further attempt of the caller may go to
// others.
func (g *Gate) rateLimitedRefusal(f *inFlight) *domain.Refusal {
	g.metrics.rateLimited.Add(1)
	wait, now := maxRestRetryAfter, time.Now()
	for _, up := range g.cfg.Catalog.Ready(f.service) {
		if up.Role == domain.RolePrefill || !f.fits(up) || g.stats.forUpstream(up).health(now).unhealthy {
			continue
		}
		next := g.cfg.RateLimits.Wait(up)
		if !g.cfg.RateLimits.Resting(up) {
			next = min(next, maxRateRetryAfter)
		}
		wait = min(wait, next)
	}
	return domain.Refuse(domain.RefusalOverloaded, "the upstreams of service "+string(f.service)+" are at the rate limits that they state, or asked for rest",
		"try again after the stated time").WithRetryAfter(max(busyRetryAfter, wait))
}

// chooseService picks a service at random, weighted by the route's shares. It
// returns "" if the weights add up to 0.
func chooseService(route *traffic.Route) traffic.ServiceName {
	total := 0
	for _, s := range route.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	draw := rand.IntN(total)
	for _, s := range route.Shares {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return ""
}
