package dispatch

import (
	"expvar"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// outdatedRetryAfter is the retry delay of a host that may lack the configuration that has a key:
// within it, callers reach another host, or this one reads the store again.
const outdatedRetryAfter = time.Second

// noConfigRefusal is the refusal of a host that knows no configuration.
func noConfigRefusal() *domain.Refusal {
	return domain.Refuse(domain.RefusalStoreDown, "this host knows no configuration yet",
		"try again after the stated time").WithRetryAfter(noConfigRetryAfter)
}

// Authenticate returns why a request of a caller is refused before its body is read, or nil. It
// counts and logs the refusal. Serve checks again, as the configuration may be another one by then,
// and refuses what has no route or comes while the host stops.
func (g *Gate) Authenticate(req *traffic.Request) *domain.Refusal {
	config, route, customer := g.cfg.Catalog.Resolve(req)
	var refusal *domain.Refusal
	switch {
	case config == nil:
		refusal = noConfigRefusal()
	case g.cfg.Rejecting() || route == nil:
		return nil
	default:
		refusal = g.checkKey(req, config, route, customer)
	}
	if refusal != nil {
		g.noteRefused(req, refusal)
	}
	return refusal
}

// checkKey returns the refusal of a request without the key of a customer that its route needs, or
// nil. The customer of a request that another host passed on is checked by declineHop.
func (g *Gate) checkKey(req *traffic.Request, config *traffic.Config, route *traffic.Route, customer *traffic.Customer) *domain.Refusal {
	refusal, counter := g.keyRefusal(req, config, route, customer)
	if refusal != nil {
		counter.Add(1)
	}
	return refusal
}

// keyRefusal does the same without counting, and returns the counter of the refusal.
func (g *Gate) keyRefusal(req *traffic.Request, config *traffic.Config, route *traffic.Route, customer *traffic.Customer) (*domain.Refusal, *expvar.Int) {
	switch {
	case !config.RequiresKeys || route.Public || customer != nil || req.Hop != nil:
		return nil, nil
	case !req.Credential.Given():
		return domain.Refuse(domain.RefusalUnauthenticated, "the request carries no key", "send the key of a customer"), g.metrics.keysMissing
	case g.cfg.Catalog.MayLackConfig():
		return domain.Refuse(domain.RefusalStoreDown, "this host does not know the key, and may lack a newer configuration",
			"try again after the stated time").WithRetryAfter(outdatedRetryAfter), g.metrics.keysUndecided
	default:
		return domain.Refuse(domain.RefusalUnauthenticated, "no customer has the key", "send the key of a customer"), g.metrics.keysUnknown
	}
}

// identify sets what upstreams are told of the caller of a request.
func (g *Gate) identify(req *traffic.Request, config *traffic.Config, customer *traffic.Customer) {
	req.Customer, req.HidesCredential = customer, config.RequiresKeys
	if customer != nil && req.Hop == nil {
		g.metrics.forCustomers.Add(1)
	}
}

// declineCustomer returns the refusal of a request of another host whose customer is not certain,
// or nil.
func declineCustomer(req *traffic.Request, config *traffic.Config, route *traffic.Route, customer *traffic.Customer) *domain.Refusal {
	switch {
	case !config.RequiresKeys || req.Hop.Customer == "" && route.Public:
		return nil
	case customer == nil || !config.StatedBy(req.ID, req.Hop):
		return domain.Refuse(domain.RefusalCutOff, "the other host does not state the customer", "try again at once").WithRetryAfter(busyRetryAfter)
	default:
		return nil
	}
}

// stateCustomer tells the next host the customer of a request that is passed on.
func (h *hop) stateCustomer() {
	h.opts.Customers = h.req.HidesCredential
	if h.req.Customer != nil {
		h.opts.Customer = h.req.Customer.Name
		h.opts.CustomerMAC = h.config.HopMAC(h.req.ID, h.req.Customer.Name)
	}
}
