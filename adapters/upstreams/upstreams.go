// Package upstreams keeps one HTTP client for each upstream.
package upstreams

import (
	"net"
	"net/http"
	"sync"
	"time"

	"greengagespoke/adapters/enginehttp"
	"greengagespoke/adapters/servicehttp"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 60 * time.Second
	keepAlive       = 10 * time.Second
	idleConnections = 64
)

// Set hands out clients for upstreams. It implements ports.Upstreams.
type Set struct {
	transport *http.Transport

	mu       sync.Mutex
	engines  map[domain.UpstreamID]entry[ports.Engine]
	services map[domain.UpstreamID]entry[ports.Service]
}

// entry is a client and the address that it was made for.
type entry[T any] struct {
	address string
	client  T
}

var _ ports.Upstreams = (*Set)(nil)

// New returns an empty set. Close frees its connections.
func New() *Set {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Set{
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		engines:  make(map[domain.UpstreamID]entry[ports.Engine]),
		services: make(map[domain.UpstreamID]entry[ports.Service]),
	}
}

// Engine implements ports.Upstreams.
func (s *Set) Engine(up domain.Upstream) ports.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lookup(s.engines, up, func() ports.Engine {
		return enginehttp.NewClient(up, &http.Client{Transport: s.transport})
	})
}

// Service implements ports.Upstreams.
func (s *Set) Service(up domain.Upstream) ports.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lookup(s.services, up, func() ports.Service {
		return servicehttp.NewClient(up, s.transport)
	})
}

// Close closes idle connections.
func (s *Set) Close() {
	s.transport.CloseIdleConnections()
}

// lookup returns the client for an upstream and replaces one whose address is
// out of date.
func lookup[T any](known map[domain.UpstreamID]entry[T], up domain.Upstream, make func() T) T {
	if e, ok := known[up.ID]; ok && e.address == up.Address {
		return e.client
	}
	client := make()
	known[up.ID] = entry[T]{address: up.Address, client: client}
	return client
}
