package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// Catalog holds the applied configuration and the registered upstreams. Reads take
// no lock. It is safe for concurrent use.
type Catalog struct {
	mu       sync.Mutex
	current  atomic.Pointer[routeIndex]
	snapshot atomic.Pointer[upstreamSnapshot]
	registry registry
	onApply  func(domain.Revision)
	// configLost means that the host may lack a newer configuration, configHeard is the highest
	// version that another host has applied.
	configLost  atomic.Bool
	configHeard atomic.Int64
}

// routeIndex is a configuration with its routes grouped by host name and sorted for
// matching, and its customers by their keys and names.
type routeIndex struct {
	config *traffic.Config
	byHost map[string][]*traffic.Route
	byKey  map[traffic.Credential]*traffic.Customer
	byName map[traffic.CustomerName]*traffic.Customer
}

// New returns a catalog without configuration and upstreams.
func New() *Catalog {
	c := &Catalog{registry: newRegistry()}
	c.snapshot.Store(&upstreamSnapshot{})
	return c
}

// OnApply sets a function that is called with the version of each applied
// configuration. OnApply must be called before the first Apply.
func (c *Catalog) OnApply(f func(domain.Revision)) { c.onApply = f }

// Apply makes a configuration the applied one if its version is higher than the
// current version, and reports whether it did. The source is only logged.
func (c *Catalog) Apply(config *traffic.Config, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.Version()
	if config.Version <= previous {
		return false
	}
	c.current.Store(newRouteIndex(config))
	klog.InfoS("configuration applied", "version", config.Version, "before", previous,
		"routes", len(config.Routes), "services", len(config.Services), "customers", len(config.Customers),
		"requires_keys", config.RequiresKeys, "source", source)
	if c.onApply != nil {
		c.onApply(config.Version)
	}
	return true
}

func newRouteIndex(config *traffic.Config) *routeIndex {
	index := &routeIndex{config: config, byHost: make(map[string][]*traffic.Route)}
	for i := range config.Routes {
		r := &config.Routes[i]
		index.byHost[r.Host] = append(index.byHost[r.Host], r)
	}
	for _, routes := range index.byHost {
		// Longest prefix first, so that Match can stop at the first match.
		slices.SortStableFunc(routes, func(a, b *traffic.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	index.addCustomers(config.Customers)
	return index
}

// Version returns the version of the applied configuration, or 0 if there is none.
func (c *Catalog) Version() domain.Revision {
	if index := c.current.Load(); index != nil {
		return index.config.Version
	}
	return 0
}

// Config returns the applied configuration, or nil if there is none.
func (c *Catalog) Config() *traffic.Config {
	if index := c.current.Load(); index != nil {
		return index.config
	}
	return nil
}

// Match returns the applied configuration and the route of the host with the longest
// prefix of the path. The configuration is nil if none is applied, the route is nil
// if none matches.
func (c *Catalog) Match(host, path string) (*traffic.Config, *traffic.Route) {
	index := c.current.Load()
	if index == nil {
		return nil, nil
	}
	return index.config, index.route(host, path)
}

func (x *routeIndex) route(host, path string) *traffic.Route {
	for _, r := range x.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host name of a Host header: in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
