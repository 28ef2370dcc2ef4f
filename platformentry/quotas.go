package platformentry

import (
	"sync/atomic"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/platform/settings"
	"greengagespoke/ports"
	"greengagespoke/quota"
	"greengagespoke/traffic"
)

// newQuotas returns the quotas of customers.
func (d *Daemon) newQuotas(clock func() time.Duration, counterSet *counters.Set) *quota.Quotas {
	customers := &quotaCustomers{config: d.catalog.Config}
	return quota.New(quota.Config{
		Self: d.settings.Host, Zone: d.settings.Zone, Members: d.members.Members, Ready: d.members.Ready, Clock: clock,
		Contact: func() quota.Contact {
			heard, suspected := d.members.Contact()
			return quota.Contact{Heard: heard, Suspected: suspected}
		},
		Customer: customers.find, Counters: counterSet, StartedTogether: d.hosts.StartedTogether,
		Peer: func(host domain.HostID) ports.QuotaPeer { return d.peers.Quotas(host) },
	})
}

func quotaBounds(s *settings.Settings) quota.Bounds {
	return quota.Bounds{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}

// quotaCustomers finds the customers of the configuration in force by their names.
type quotaCustomers struct {
	config func() *traffic.Config
	index  atomic.Pointer[customerIndex]
}

type customerIndex struct {
	config *traffic.Config
	byName map[traffic.CustomerName]*traffic.Customer
}

// find returns a customer and the version of the configuration. Of several customers with one name
// it is the first.
func (c *quotaCustomers) find(name traffic.CustomerName) (*traffic.Customer, domain.Revision) {
	config := c.config()
	if config == nil {
		return nil, 0
	}
	index := c.index.Load()
	if index == nil || index.config != config {
		index = &customerIndex{config, make(map[traffic.CustomerName]*traffic.Customer, len(config.Customers))}
		for i := range config.Customers {
			customer := &config.Customers[i]
			if _, taken := index.byName[customer.Name]; !taken {
				index.byName[customer.Name] = customer
			}
		}
		c.index.Store(index)
	}
	return index.byName[name], config.Version
}
