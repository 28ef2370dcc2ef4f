// Package catalog holds what a host believes of the configuration and of the
// upstreams: routes by host name and path prefix, services, and the upstreams
// that registered themselves. It does no I/O.
package catalog
