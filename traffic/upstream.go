package traffic

import "greengagespoke/domain"

// UpstreamState says whether an upstream takes new work.
type UpstreamState int

// The states of upstreams.
const (
	// UpstreamReady takes new work.
	UpstreamReady UpstreamState = iota
	// UpstreamDraining finishes what it has.
	UpstreamDraining
)

// Upstream is one registered process of a service. It is never changed.
type Upstream struct {
	ID      domain.UpstreamID
	Service ServiceName
	Address string
	Zone    domain.Zone
	State   UpstreamState
	// Role is the stage of a model engine, or domain.RoleService.
	Role domain.Role
	// Slots is the number of requests that run at once.
	Slots int
	// Born is the start of the process in Unix milliseconds, 0 where unknown.
	Born int64
}

// Incarnation identifies one life of an upstream: a process may start again
// under the identifier or at the address of another.
type Incarnation struct {
	ID      domain.UpstreamID
	Address string
	Born    int64
}

// Incarnation returns the identity of the upstream's current life.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: u.ID, Address: u.Address, Born: u.Born}
}

// UpstreamChange is a change of one entry of the registry.
type UpstreamChange struct {
	ID domain.UpstreamID
	// Upstream is nil where the entry ended.
	Upstream *Upstream
}
