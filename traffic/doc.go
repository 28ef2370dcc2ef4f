// Package traffic defines the types and interfaces for routing requests whose
// content is opaque to the router: routes, services, registered upstreams, requests,
// responses, and the ports to callers, upstreams and engine control. It contains no
// routing decisions and does no I/O.
package traffic
