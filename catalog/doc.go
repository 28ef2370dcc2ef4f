// Package catalog holds a host's local view of the applied configuration and of the
// registered upstreams. It matches requests to routes by host name and path prefix,
// and lists the upstreams of a service. It does no I/O.
package catalog
