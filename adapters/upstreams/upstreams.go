// Package upstreams creates and caches one HTTP client for each upstream. All
// clients share one transport.
package upstreams

import (
	"net"
	"net/http"
	"sync"
	"time"

	"greengagespoke/adapters/enginehttp"
	"greengagespoke/adapters/servicehttp"
	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
	"greengagespoke/ports"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	keepAlive           = 10 * time.Second
	maxIdleConnsPerHost = 64
)

// Set provides clients for upstreams. It implements ports.Upstreams and is safe
// for concurrent use.
type Set struct {
	transport *httplimit.RoundTripper

	mu       sync.Mutex
	engines  map[domain.UpstreamID]clientEntry[ports.Engine]
	services map[domain.UpstreamID]clientEntry[ports.Service]
}

// clientEntry is a cached client with the address that it was created for.
type clientEntry[T any] struct {
	address string
	client  T
}

var _ ports.Upstreams = (*Set)(nil)

// New returns an empty set. Close closes its idle connections.
func New() *Set {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Set{
		transport: httplimit.Transport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}),
		engines:  make(map[domain.UpstreamID]clientEntry[ports.Engine]),
		services: make(map[domain.UpstreamID]clientEntry[ports.Service]),
	}
}

// Engine implements ports.Upstreams.
func (s *Set) Engine(up domain.Upstream) ports.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return getOrCreate(s.engines, up, func() ports.Engine {
		return enginehttp.NewClient(up, &http.Client{Transport: s.transport})
	})
}

// Service implements ports.Upstreams.
func (s *Set) Service(up domain.Upstream) ports.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return getOrCreate(s.services, up, func() ports.Service {
		return servicehttp.NewClient(up, s.transport)
	})
}

// Close closes idle connections.
func (s *Set) Close() {
	s.transport.CloseIdleConnections()
}

// getOrCreate returns the cached client for an upstream. It creates a new one if
// there is none or the upstream's address has changed.
func getOrCreate[T any](clients map[domain.UpstreamID]clientEntry[T], up domain.Upstream, newClient func() T) T {
	if e, ok := clients[up.ID]; ok && e.address == up.Address {
		return e.client
	}
	client := newClient()
	clients[up.ID] = clientEntry[T]{address: up.Address, client: client}
	return client
}
