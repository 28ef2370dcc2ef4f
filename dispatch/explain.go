package dispatch

import (
	"cmp"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/quota"
	"greengagespoke/traffic"
)

// Explanation says where a request would go now and why, as this host knows.
type Explanation struct {
	ConfigVersion domain.Revision `json:"config_version"`
	// Refused is why the request would be refused before it is charged, empty if it would not be.
	Refused string `json:"refused,omitempty"`
	// Route is the prefix of the route, empty if there is none.
	Route    string               `json:"route,omitempty"`
	Public   bool                 `json:"public,omitempty"`
	Customer traffic.CustomerName `json:"customer,omitempty"`
	// Cost is what the request costs of the quota, which is nil if there is none.
	Cost     float64                 `json:"cost,omitempty"`
	Quota    *quota.CustomerSnapshot `json:"quota,omitempty"`
	Services []ServiceExplanation    `json:"services,omitempty"`
}

// ServiceExplanation is one service that the route may send the request to.
type ServiceExplanation struct {
	Service traffic.ServiceName `json:"service"`
	Weight  int                 `json:"weight"`
	// Level is the urgency among Levels of the service, 0 first.
	Level  int `json:"level"`
	Levels int `json:"levels"`
	// CutOff says that other hosts would serve it, as this one does not reach the service.
	CutOff bool `json:"cut_off,omitempty"`
	// Tokens is the memory that must be free on a decode engine, 0 for plain services.
	Tokens int `json:"tokens,omitempty"`
	// Upstreams holds those that it may go to, the cheapest first, and then those that are out.
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation is an upstream with its cost, or the reason why it is out. The tie-break, which
// is random, is left out.
type UpstreamExplanation struct {
	ID   domain.UpstreamID `json:"id"`
	Zone domain.Zone       `json:"zone"`
	Role domain.Role       `json:"role"`
	// Out is empty if the request may go there.
	Out string `json:"out,omitempty"`
	// RateLimited says that it is asked only if a grant is left, or if there is no other one.
	RateLimited bool `json:"rate_limited,omitempty"`
	// CostMS is the sum of the costs that follow, in milliseconds.
	CostMS          float64 `json:"cost_ms"`
	LatencyMS       float64 `json:"latency_ms"`
	ActiveCallsMS   float64 `json:"active_calls_ms"`
	FailuresMS      float64 `json:"failures_ms"`
	OtherZoneMS     float64 `json:"other_zone_ms"`
	NewConnectionMS float64 `json:"new_connection_ms"`
}

// Explain says where a request would go now and why. It sends nothing, and neither counts nor logs.
func (g *Gate) Explain(req *traffic.Request) Explanation {
	config, route, customer := g.cfg.Catalog.Resolve(req)
	if config == nil {
		return Explanation{Refused: noConfigRefusal().Message}
	}
	e := Explanation{ConfigVersion: config.Version}
	if g.cfg.Rejecting() {
		e.Refused = leavingRefusal().Message
	}
	if route == nil {
		e.Refused = cmp.Or(e.Refused, noRouteRefusal().Message)
		return e
	}
	e.Route, e.Public = route.Prefix, route.Public
	if refusal, _ := g.keyRefusal(req, config, route, customer); refusal != nil {
		e.Refused = cmp.Or(e.Refused, refusal.Message)
	}
	if customer != nil {
		e.Customer = customer.Name
	}
	if customer != nil && customer.Quota.Limited() && g.cfg.Quotas != nil {
		known := g.cfg.Quotas.Customer(customer.Name)
		e.Cost, e.Quota = customer.Quota.Cost(req), &known
	}
	req.Customer = customer
	for _, s := range route.Shares {
		if s.Weight > 0 {
			e.Services = append(e.Services, g.explainService(req, config, route, s))
		}
	}
	return e
}

func (g *Gate) explainService(req *traffic.Request, config *traffic.Config, route *traffic.Route, share traffic.Share) ServiceExplanation {
	now := time.Now()
	f := &inFlight{req: req, route: route, config: config, service: share.Service, attempts: newAttempts(req, route), slotNeededSince: now}
	f.engine = config.Services[f.service].Engine
	f.level = g.urgency.levelOf(f, config)
	s := ServiceExplanation{Service: f.service, Weight: share.Weight, Level: f.level.Index, Levels: f.level.Count, CutOff: g.isCutOff(f)}
	out := make(map[domain.UpstreamID]string)
	if f.isGeneration() {
		s.Tokens = g.explainSlots(f, out, now)
	}
	healthy, unhealthy := g.observed(f.service, now, func(up *traffic.Upstream) bool { return out[up.ID] == "" })
	usable := g.usable(healthy, unhealthy)
	explained := make(map[domain.UpstreamID]bool)
	for _, c := range append(healthy, unhealthy...) {
		explained[c.up.ID] = true
		x := g.explainUpstream(c)
		if !slices.ContainsFunc(usable, func(u candidate) bool { return u.up == c.up }) {
			x.Out = "out of rotation after failures"
		}
		s.Upstreams = append(s.Upstreams, x)
	}
	for _, up := range g.cfg.Catalog.Registered(f.service) {
		if !explained[up.ID] {
			s.Upstreams = append(s.Upstreams, UpstreamExplanation{ID: up.ID, Zone: up.Zone, Role: up.Role, Out: cmp.Or(out[up.ID], "takes no new requests")})
		}
	}
	slices.SortStableFunc(s.Upstreams, func(a, b UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Out)), min(1, len(b.Out))), cmp.Compare(a.CostMS, b.CostMS))
	})
	return s
}

// explainSlots notes the engines that get no reservation for a request, and returns the memory that
// must be free.
func (g *Gate) explainSlots(f *inFlight, out map[domain.UpstreamID]string, now time.Time) int {
	target := f.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	q := g.slots.queue(f.service)
	_, tokens := q.tokensFor(f, &waiter{turn: newTurn(f, target)}, now)
	for _, up := range g.cfg.Catalog.Ready(f.service) {
		switch {
		case up.Role != domain.RoleDecode:
			out[up.ID] = "is no decode engine"
		case f.engine.MemoryTokens > 0 && estimateTokens(f.req) > f.engine.MemoryTokens:
			out[up.ID] = "the request is larger than its memory"
		case q.isFull(up.ID, tokens, now):
			out[up.ID] = "rejected a reservation of this size or a smaller one a moment ago"
		}
	}
	return tokens
}

func (g *Gate) explainUpstream(c candidate) UpstreamExplanation {
	parts := c.costs(g.cfg.Zone)
	return UpstreamExplanation{
		ID: c.up.ID, Zone: c.up.Zone, Role: c.up.Role, RateLimited: g.cfg.RateLimits.Limited(c.up),
		CostMS: milliseconds(parts.sum()), LatencyMS: milliseconds(parts.latency), ActiveCallsMS: milliseconds(parts.activeCalls),
		FailuresMS: milliseconds(parts.failures), OtherZoneMS: milliseconds(parts.otherZone), NewConnectionMS: milliseconds(parts.newConnection),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
