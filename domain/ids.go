package domain

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies one entry host. It is unique in a deployment and stable
// across restarts of the daemon on that host.
type HostID string

// RingPosition returns the host's position on a hash ring that all hosts order
// identically. Hashing keeps neighbors on the ring independent of host names and
// availability zones.
func (id HostID) RingPosition() uint64 { return xxhash.Sum64String(string(id)) }

// Zone is the name of an availability zone, such as "dakar-1".
type Zone string

// Region is the name of a group of availability zones, such as "dakar".
type Region string

// UpstreamID identifies one upstream: a model engine or a plain service instance.
type UpstreamID string

// CallerID identifies the customer on whose behalf a request is made.
type CallerID string

// RequestID identifies one request of a caller. A resend has the same identifier.
type RequestID string

// PoolName is the key of a row in the pools table.
type PoolName string

// RouteName is the key of a row in the routes table.
type RouteName string

// Revision is the number of changes accepted to the routes and pools tables
// together. It only increases.
type Revision int64

// GroupID identifies a set of upstreams of one pool whose slots are granted by
// one keeper.
type GroupID string

// GrantID identifies one grant of a decode slot.
type GrantID string

// AttemptID identifies one attempt at a request. Engines list and cancel work by
// this identifier.
type AttemptID struct {
	Caller  CallerID  `json:"caller"`
	Request RequestID `json:"request"`
	// Attempt starts at 1 and increases with each retry or resend.
	Attempt int `json:"attempt"`
}

// Key returns the identifier that all attempts at the request share.
func (a AttemptID) Key() RequestKey {
	return RequestKey{Caller: a.Caller, Request: a.Request}
}

// RequestKey identifies a request across attempts. Request identifiers are
// scoped by caller, so that a caller cannot refer to another caller's request.
type RequestKey struct {
	Caller  CallerID  `json:"caller"`
	Request RequestID `json:"request"`
}

// String returns "caller/request" for logs.
func (k RequestKey) String() string {
	return string(k.Caller) + "/" + string(k.Request)
}

// Region returns the part of the zone name before the last "-", or the whole
// name if it contains none: "dakar-1" is in region "dakar".
func (z Zone) Region() Region {
	if i := strings.LastIndexByte(string(z), '-'); i > 0 {
		return Region(z[:i])
	}
	return Region(z)
}
