package gateclient

import (
	"context"
	"errors"
	"net/url"

	"greengagespoke/domain"
	"greengagespoke/entrypoints"
)

// EntryPoints asks the configured hosts, one after the other, which addresses to
// use.
func (c *Client) EntryPoints(ctx context.Context) (entrypoints.Answer, error) {
	answer, _, err := c.entryPoints(ctx)
	return answer, err
}

// errNoHosts means that a client has no host to ask.
var errNoHosts = errors.New("no entry host is known; name one as IP:PORT")

// entryPoints also returns the host that answered.
func (c *Client) entryPoints(ctx context.Context) (entrypoints.Answer, string, error) {
	query := make(url.Values)
	if c.cfg.Zone != "" {
		query.Set("zone", string(c.cfg.Zone))
	}
	if c.cfg.Caller != "" {
		query.Set("caller", string(c.cfg.Caller))
	}
	err := errNoHosts
	for _, host := range c.cfg.Hosts {
		var answer entrypoints.Answer
		err = c.getJSON(ctx, baseURL(host), "/v1/entrypoints?"+query.Encode(), &answer)
		if err == nil {
			return answer, host, nil
		}
	}
	return entrypoints.Answer{}, "", err
}

// addresses returns the base URLs to use, best first.
func (c *Client) addresses(ctx context.Context) ([]string, error) {
	answer, host, err := c.entryPoints(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, p := range answer.Addresses {
		out = append(out, beside(host, p.Address))
	}
	if len(out) == 0 {
		return nil, domain.Refuse(domain.RefusalNoUpstream, "no entry host takes new work", "try again in a few seconds")
	}
	return out, nil
}
