// Package traffic holds what routers of opaque requests speak of: routes,
// services, self-registered upstreams, requests, answers, and the ports through
// which they pass. It decides nothing and does no I/O.
package traffic
