package domain

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HostID names one entry host. It is unique in a deployment and stays the same
// across restarts of the daemon on that host.
type HostID string

// RingPosition is where the host stands on a ring that all hosts order alike, with
// neighbors that do not depend on names or zones.
func (id HostID) RingPosition() uint64 { return xxhash.Sum64String(string(id)) }

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// UpstreamID names one upstream: a model engine or a plain service instance.
type UpstreamID string

// CallerID names the customer on whose behalf a request is made.
type CallerID string

// RequestID names one request of a caller. A resend carries the same identifier.
type RequestID string

// PoolName is the key of a row in the pools table.
type PoolName string

// RouteName is the key of a row in the routes table.
type RouteName string

// Revision counts accepted changes of the two tables. It only grows.
type Revision int64

// GroupID names a set of upstreams of one pool whose places are granted together.
type GroupID string

// GrantID names one grant of a decode place.
type GrantID string

// AttemptID names one attempt at a request at an engine. Engines list and
// cancel work by this identifier.
type AttemptID struct {
	Caller  CallerID  `json:"caller"`
	Request RequestID `json:"request"`
	// Attempt starts at 1 and grows with each retry or resend.
	Attempt int `json:"attempt"`
}

// Key returns the request part of the identifier, which all attempts share.
func (a AttemptID) Key() RequestKey {
	return RequestKey{Caller: a.Caller, Request: a.Request}
}

// RequestKey identifies a request across attempts. Request identifiers are
// scoped by caller, so that no caller can name another caller's request.
type RequestKey struct {
	Caller  CallerID  `json:"caller"`
	Request RequestID `json:"request"`
}

// String returns "caller/request" for logs.
func (k RequestKey) String() string {
	return string(k.Caller) + "/" + string(k.Request)
}

// Region returns the part of the zone name before the last "-", or the whole
// name where there is none: "dakar-1" lies in region "dakar".
func (z Zone) Region() Region {
	if i := strings.LastIndexByte(string(z), '-'); i > 0 {
		return Region(z[:i])
	}
	return Region(z)
}
