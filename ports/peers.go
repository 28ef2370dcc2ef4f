package ports

import (
	"context"
	"errors"
	"time"

	"greengagespoke/domain"
)

// ErrPeerUnreachable means that a call to another entry host got no answer.
var ErrPeerUnreachable = errors.New("peer unreachable; use another host")

// ErrStillQueued means that a place request was not granted within the call and
// keeps its position for a short time; the gate calls again.
var ErrStillQueued = errors.New("place request still queued; call again")

// ErrNotKeeper means that the called host does not keep the group, or is not
// ready to grant yet.
var ErrNotKeeper = errors.New("host does not keep this group; refresh the membership view")

// Keeper grants decode places of the groups that a host keeps.
type Keeper interface {
	// Acquire asks for a place in a group and waits for it. It returns
	// ErrStillQueued, ErrNotKeeper or a *domain.Refusal where there is no grant.
	Acquire(ctx context.Context, group domain.GroupID, req domain.PlaceRequest) (domain.Grant, error)
	// Renew extends the grants of a holder in bulk and returns those that the
	// keeper no longer allows. A keeper that does not know a grant adopts it.
	Renew(ctx context.Context, group domain.GroupID, holder domain.HostID, grants []domain.Grant) (lost []domain.GrantID, err error)
	// Release gives grants back. Releasing an unknown grant is not an error.
	Release(ctx context.Context, group domain.GroupID, releases []domain.Release) error
	// Withdraw removes a waiting place request.
	Withdraw(ctx context.Context, group domain.GroupID, id domain.AttemptID) error
}

// Gossip is the membership protocol between hosts.
type Gossip interface {
	// Probe asks a host whether it is alive. Both sides piggyback statements.
	Probe(ctx context.Context, msg ProbeMessage) (ProbeMessage, error)
	// ProbeVia asks a host to probe another one.
	ProbeVia(ctx context.Context, target domain.HostID, msg ProbeMessage) (ProbeMessage, error)
	// Sync exchanges the full view.
	Sync(ctx context.Context, view []domain.Member) ([]domain.Member, error)
}

// ProbeMessage is the payload of a probe and of its answer.
type ProbeMessage struct {
	From     domain.HostID
	Revision domain.Revision
	// Updates are statements about members that the sender spreads.
	Updates []domain.Member
	// Strikes are crash suspicions that the sender spreads.
	Strikes []Strike
}

// Strike says that an upstream crashed while it ran a request with the given
// fingerprint.
type Strike struct {
	Fingerprint uint64
	Upstream    domain.UpstreamID
	// Suspects is the number of requests that ran on the upstream at the crash.
	Suspects int
	// Age is the time since the crash.
	Age time.Duration
}

// TablePeer serves accepted changes to hosts that are behind.
type TablePeer interface {
	// Changes returns the changes after the revision, in order and without
	// gaps, at most limit; complete is false where the host no longer has them
	// and a snapshot is needed.
	Changes(ctx context.Context, after domain.Revision, limit int) (changes []domain.Change, complete bool, err error)
	// Snapshot returns all rows at the host's revision.
	Snapshot(ctx context.Context) (TableSnapshot, error)
	// Announce tells the host of accepted changes, in order and without gaps. It
	// takes them in, or keeps them until it has those before. An error means that
	// the host did not keep them.
	Announce(ctx context.Context, changes []domain.Change) error
}

// TableSnapshot is all rows of both tables at one revision.
type TableSnapshot struct {
	Revision domain.Revision
	Rows     []domain.VersionedRow
}

// GatePeer is what gates ask each other about requests in flight.
type GatePeer interface {
	// Supersede ends the host's earlier attempts at a request, so that a newer
	// attempt elsewhere can deliver. It returns whether there was one.
	Supersede(ctx context.Context, key domain.RequestKey, attempt int) (found bool, err error)
	// Cancel cancels an attempt at an upstream for a host that cannot reach it.
	// The called host finds the upstream in its own tables, makes one bounded
	// call and asks no further host. An error means that the upstream did not
	// acknowledge.
	Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error
}

// Peers gives access to other entry hosts by identifier. The own identifier
// gives local implementations.
type Peers interface {
	Keeper(host domain.HostID) Keeper
	Gossip(host domain.HostID) Gossip
	TablePeer(host domain.HostID) TablePeer
	GatePeer(host domain.HostID) GatePeer
}

// Upstreams gives access to upstreams by identifier and address.
type Upstreams interface {
	Engine(up domain.Upstream) Engine
	Service(up domain.Upstream) Service
}

// Membership is the view of the entry hosts that decisions read.
type Membership interface {
	// Self returns this host's own entry.
	Self() domain.Member
	// Members returns all known members, sorted by identifier.
	Members() []domain.Member
}

// TableView is the applied state of the two tables.
type TableView interface {
	Revision() domain.Revision
	// RouteForModel returns the route that serves a model name.
	RouteForModel(model string) (domain.Route, bool)
	// RouteForPath returns the service route with the longest matching prefix.
	RouteForPath(path string) (domain.Route, bool)
	Pool(name domain.PoolName) (domain.Pool, bool)
	Pools() []domain.Pool
	Routes() []domain.Route
}
