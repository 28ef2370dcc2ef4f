package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
)

// Catalog holds the configuration in force and the upstreams. Reads take no
// lock. It is safe for concurrent use.
type Catalog struct {
	mu        sync.Mutex
	current   atomic.Pointer[index]
	upstreams atomic.Pointer[upstreamView]
	members   members
	onApply   func(domain.Revision)
}

// index is a configuration with its routes sorted for matching.
type index struct {
	config *traffic.Config
	byHost map[string][]*traffic.Route
}

// New returns a catalog that knows no configuration.
func New() *Catalog {
	c := &Catalog{members: newMembers()}
	c.upstreams.Store(&upstreamView{})
	return c
}

// OnApply sets what is called with each version put in force. It must be called
// before the first Apply.
func (c *Catalog) OnApply(f func(domain.Revision)) { c.onApply = f }

// Apply puts a configuration in force unless its version is not above the
// current one. It returns whether it did.
func (c *Catalog) Apply(config *traffic.Config, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Version()
	if config.Version <= before {
		return false
	}
	c.current.Store(newIndex(config))
	klog.InfoS("configuration applied", "version", config.Version, "before", before,
		"routes", len(config.Routes), "services", len(config.Services), "source", source)
	if c.onApply != nil {
		c.onApply(config.Version)
	}
	return true
}

func newIndex(config *traffic.Config) *index {
	x := &index{config: config, byHost: make(map[string][]*traffic.Route)}
	for i := range config.Routes {
		r := &config.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
	}
	for _, routes := range x.byHost {
		// Longest prefix first, so that the first match is the best one.
		slices.SortStableFunc(routes, func(a, b *traffic.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return x
}

// Version returns the version in force, or 0 where none is known.
func (c *Catalog) Version() domain.Revision {
	if x := c.current.Load(); x != nil {
		return x.config.Version
	}
	return 0
}

// Config returns the configuration in force, or nil where none is known.
func (c *Catalog) Config() *traffic.Config {
	if x := c.current.Load(); x != nil {
		return x.config
	}
	return nil
}

// Match returns the configuration in force and the route with the longest prefix
// that begins the path. The configuration is nil where none is known, the route
// is nil where none matches.
func (c *Catalog) Match(host, path string) (*traffic.Config, *traffic.Route) {
	x := c.current.Load()
	if x == nil {
		return nil, nil
	}
	for _, r := range x.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return x.config, r
		}
	}
	return x.config, nil
}

// hostName returns a host header in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
