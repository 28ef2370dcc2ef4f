package catalog

import (
	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// addCustomers indexes customers. A key or a name that two customers have belongs to the first.
func (x *routeIndex) addCustomers(customers []traffic.Customer) {
	x.byKey = make(map[traffic.Credential]*traffic.Customer, len(customers))
	x.byName = make(map[traffic.CustomerName]*traffic.Customer, len(customers))
	for i := range customers {
		customer := &customers[i]
		if _, taken := x.byName[customer.Name]; !taken {
			x.byName[customer.Name] = customer
		}
		for _, key := range customer.Keys {
			if _, taken := x.byKey[key]; !taken && key.Given() {
				x.byKey[key] = customer
			}
		}
	}
}

// Resolve returns the same as Match for a request, and the customer that its key belongs to. For a
// request that another host passed on, it is the customer that the other host states, which is not
// verified. The customer is nil if there is none.
func (c *Catalog) Resolve(req *traffic.Request) (*traffic.Config, *traffic.Route, *traffic.Customer) {
	index := c.current.Load()
	if index == nil {
		return nil, nil, nil
	}
	customer := index.byKey[req.Credential]
	if req.Hop != nil {
		customer = index.byName[req.Hop.Customer]
	}
	return index.config, index.route(req.Host, req.Path), customer
}

// ConfigLost records that this host may lack a newer configuration, as its reads of it fail.
func (c *Catalog) ConfigLost() { c.configLost.Store(true) }

// ConfigRegained records that this host has the newest configuration that the registry had at its
// last read.
func (c *Catalog) ConfigRegained() { c.configLost.Store(false) }

// ConfigHeard records the version of the configuration that another host has applied.
func (c *Catalog) ConfigHeard(version domain.Revision) {
	for {
		highest := c.configHeard.Load()
		if highest >= int64(version) || c.configHeard.CompareAndSwap(highest, int64(version)) {
			return
		}
	}
}

// MayLackConfig reports whether this host may lack a newer configuration, or knows that it does.
func (c *Catalog) MayLackConfig() bool {
	return c.configLost.Load() || c.configHeard.Load() > int64(c.Version())
}
