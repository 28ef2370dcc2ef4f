package gateclient

import (
	"context"

	"greengagespoke/domain"
)

// HostStatus is a host's answer about itself and the hosts it sees.
type HostStatus struct {
	Host     domain.HostID   `json:"host"`
	Zone     domain.Zone     `json:"zone"`
	Revision domain.Revision `json:"revision"`
	Ready    bool            `json:"ready"`
	Leaving  bool            `json:"leaving"`
	InFlight int             `json:"in_flight"`
	// Unreadable lists table rows that keep their last good value.
	Unreadable []string        `json:"unreadable,omitempty"`
	Members    []domain.Member `json:"members"`
}

// Status asks the first configured host that answers about itself.
func (c *Client) Status(ctx context.Context) (HostStatus, error) {
	err := errNoHosts
	for _, host := range c.cfg.Hosts {
		var status HostStatus
		err = c.getJSON(ctx, baseURL(host), "/v1/status", &status)
		if err == nil {
			return status, nil
		}
	}
	return HostStatus{}, err
}
