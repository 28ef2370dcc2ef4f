package dispatch

import (
	"math/rand/v2"
	"time"

	"greengagespoke/traffic"

	"greengagespoke/domain"
)

const (
	// zoneCost is the extra cost of another availability zone: about two one-way
	// delays between zones.
	zoneCost = 10 * time.Millisecond
	// failureCost is the cost of a certain failure: about the time that a caller
	// of a plain service loses by it.
	failureCost = 500 * time.Millisecond
	// activeCost is the cost of one call under way: about the work of a plain call.
	activeCost = 15 * time.Millisecond
	// newConnectionCost is the extra cost of an upstream to which no connection is
	// idle: upstreams bound their connections, and a new one takes a round trip.
	newConnectionCost = 10 * time.Millisecond
	// spreadCost breaks ties between equal upstreams, so that hosts do not all
	// choose the same one.
	spreadCost = 5 * time.Millisecond
)

// candidate is an upstream with what this host has seen of it.
type candidate struct {
	up     *traffic.Upstream
	health health
	// connected says that a connection to it is idle.
	connected bool
}

// candidates returns the upstreams of a service that keep allows, and leaves out
// those that are broken unless all are.
func (g *Gate) candidates(service traffic.ServiceName, now time.Time, keep func(*traffic.Upstream) bool) []candidate {
	var sound, broken []candidate
	for _, up := range g.cfg.Catalog.Ready(service) {
		if !keep(up) {
			continue
		}
		c := candidate{up: up, health: g.tracks.of(up).health(now), connected: g.cfg.Upstreams.Connected(up)}
		if c.health.out {
			broken = append(broken, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return broken
	}
	return sound
}

// cost is the expected time lost by choosing a candidate.
func (c candidate) cost(zone domain.Zone) time.Duration {
	cost := c.health.latency + time.Duration(c.health.active)*activeCost
	cost += time.Duration(c.health.failure * float64(failureCost))
	if c.up.Zone != zone {
		cost += zoneCost
	}
	return cost + c.connectCost() + rand.N(spreadCost)
}

// connectCost is the cost of the connection that a candidate needs.
func (c candidate) connectCost() time.Duration {
	if c.connected {
		return 0
	}
	return newConnectionCost
}

// pick returns the candidate of least cost, or nil where there is none.
func pick(from []candidate, zone domain.Zone) *traffic.Upstream {
	var best *traffic.Upstream
	var least time.Duration
	for _, c := range from {
		if cost := c.cost(zone); best == nil || cost < least {
			best, least = c.up, cost
		}
	}
	return best
}

// chooseService draws a service by the weights of the route's shares.
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
