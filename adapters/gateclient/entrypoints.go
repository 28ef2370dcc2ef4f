package gateclient

import (
	"context"
	"errors"
	"net/url"

	"greengagespoke/domain"
	"greengagespoke/entrypoints"
)

// EntryPoints returns the addresses to use, from the first configured host that
// responds. If none does, it returns the error of the last one.
func (c *Client) EntryPoints(ctx context.Context) (entrypoints.Answer, error) {
	answer, _, err := c.entryPoints(ctx)
	return answer, err
}

// errNoHosts means that the configuration of a client names no host.
var errNoHosts = errors.New("no entry host is known; name one as IP:PORT")

// entryPoints is like EntryPoints, but also returns the host that responded.
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

// addresses returns the base URLs of the addresses to use, best first.
func (c *Client) addresses(ctx context.Context) ([]string, error) {
	answer, host, err := c.entryPoints(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, p := range answer.Addresses {
		out = append(out, baseURLWithScheme(host, p.Address))
	}
	if len(out) == 0 {
		return nil, domain.Refuse(domain.RefusalNoUpstream, "no entry host takes new work", "try again in a few seconds")
	}
	return out, nil
}
