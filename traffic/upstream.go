package traffic

import (
	"fmt"

	"greengagespoke/domain"
)

// UpstreamState says whether an upstream accepts new requests.
type UpstreamState int

// Upstream states.
const (
	// UpstreamReady accepts new requests.
	UpstreamReady UpstreamState = iota
	// UpstreamDraining only finishes its requests in flight.
	UpstreamDraining
)

// Upstream is a registered process of a service. It is immutable.
type Upstream struct {
	ID      domain.UpstreamID
	Service ServiceName
	Address string
	Zone    domain.Zone
	State   UpstreamState
	// Role is the role of a model engine, or domain.RoleService for other upstreams.
	Role domain.Role
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// StartedAtMillis is the start time of the process in Unix milliseconds, 0 if unknown.
	StartedAtMillis int64
	// Version is the version of the process's software, empty if unknown.
	Version string
}

// Incarnation identifies one process of an upstream. The identifier or the address
// alone does not: a process may start with those of an earlier one.
type Incarnation struct {
	ID              domain.UpstreamID
	Address         string
	StartedAtMillis int64
}

// Incarnation returns the identity of the upstream's process.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: u.ID, Address: u.Address, StartedAtMillis: u.StartedAtMillis}
}

// String returns a text that no other process of an upstream has, and that is the same at hosts
// that reach the process at different addresses.
func (i Incarnation) String() string {
	if i.StartedAtMillis != 0 {
		return fmt.Sprintf("%s/%d", i.ID, i.StartedAtMillis)
	}
	return fmt.Sprintf("%s@%s/%d", i.ID, i.Address, i.StartedAtMillis)
}

// UpstreamChange is a change of one registry entry.
type UpstreamChange struct {
	ID domain.UpstreamID
	// Upstream is nil if the entry was removed.
	Upstream *Upstream
}
