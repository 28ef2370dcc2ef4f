package gateclient

import (
	"context"

	"greengagespoke/domain"
)

// HostStatus is the status that a host reports about itself and its view of the
// members.
type HostStatus struct {
	Host     domain.HostID   `json:"host"`
	Zone     domain.Zone     `json:"zone"`
	Revision domain.Revision `json:"revision"`
	Ready    bool            `json:"ready"`
	Leaving  bool            `json:"leaving"`
	InFlight int             `json:"in_flight"`
	// Unreadable lists the table rows that could not be decoded; the host keeps
	// using their last valid value.
	Unreadable []string        `json:"unreadable,omitempty"`
	Members    []domain.Member `json:"members"`
}

// Status returns the status of the first configured host that responds, or the error
// of the last one.
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
