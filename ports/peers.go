package ports

import (
	"context"
	"errors"
	"time"

	"greengagespoke/domain"
)

// ErrPeerUnreachable means that a call to another entry host got no response.
var ErrPeerUnreachable = errors.New("peer unreachable; use another host")

// ErrStillQueued means that a slot request was not granted within the call. It
// keeps its position in the queue for a short time, in which the gate repeats the
// call.
var ErrStillQueued = errors.New("place request still queued; call again")

// ErrNotKeeper means that the called host is not the keeper of the group or is
// not yet ready to grant slots.
var ErrNotKeeper = errors.New("host does not keep this group; refresh the membership view")

// Keeper grants the decode slots of upstream groups. Each group has one entry
// host as its keeper.
type Keeper interface {
	// Acquire requests a decode slot in a group and waits for it. If no slot is
	// granted, the error is ErrStillQueued, ErrNotKeeper or a *domain.Refusal.
	Acquire(ctx context.Context, group domain.GroupID, req domain.SlotRequest) (domain.Grant, error)
	// Renew extends the grants of a holder in one call and returns those that the
	// keeper has revoked. A keeper adopts a grant that it does not know.
	Renew(ctx context.Context, group domain.GroupID, holder domain.HostID, grants []domain.Grant) (lost []domain.GrantID, err error)
	// Release returns grants to the keeper. Releasing an unknown grant is not an
	// error.
	Release(ctx context.Context, group domain.GroupID, releases []domain.Release) error
	// Withdraw removes a slot request from the queue.
	Withdraw(ctx context.Context, group domain.GroupID, id domain.AttemptID) error
}

// Gossip is the membership protocol between entry hosts.
type Gossip interface {
	// Probe checks whether a host is alive. The request and the response both
	// carry gossip updates.
	Probe(ctx context.Context, msg ProbeMessage) (ProbeMessage, error)
	// ProbeVia asks a host to probe the target on behalf of this host.
	ProbeVia(ctx context.Context, target domain.HostID, msg ProbeMessage) (ProbeMessage, error)
	// Sync exchanges the full membership view.
	Sync(ctx context.Context, view []domain.Member) ([]domain.Member, error)
}

// ProbeMessage is the payload of a probe and of its response.
type ProbeMessage struct {
	From     domain.HostID
	Revision domain.Revision
	// Updates are gossip updates about members.
	Updates []domain.Member
	// Strikes are reports of upstream crashes.
	Strikes []Strike
}

// Strike records that an upstream crashed while it ran a request with the given
// fingerprint, or one that holds a part of a prompt. It may have caused the crash.
type Strike struct {
	Fingerprint uint64
	// Part means that the fingerprint is that of a part of prompts.
	Part bool
	// Upstream is the upstream, or the process of an upstream, that crashed. It is empty
	// if the request, or one with the part, completed, so that earlier strikes no longer count.
	Upstream domain.UpstreamID
	// Suspects is the number of requests that ran on the upstream when it crashed.
	Suspects int
	// Age is the time since the crash or the completion.
	Age time.Duration
}

// TablePeer exchanges accepted table changes with other hosts, so that a host
// whose tables are stale can catch up without reading the store.
type TablePeer interface {
	// Changes returns at most limit changes after the revision, in order and
	// without gaps. If complete is false, the host has discarded some of them and
	// the caller needs a snapshot.
	Changes(ctx context.Context, after domain.Revision, limit int) (changes []domain.Change, complete bool, err error)
	// Snapshot returns all rows at the revision that the host has applied.
	Snapshot(ctx context.Context) (TableSnapshot, error)
	// Announce sends accepted changes to the host, in order and without gaps. The
	// host applies them, or holds them until it has the preceding ones. An error
	// means that it did neither.
	Announce(ctx context.Context, changes []domain.Change) error
}

// TableSnapshot is all rows of both tables at one revision.
type TableSnapshot struct {
	Revision domain.Revision
	Rows     []domain.VersionedRow
}

// GatePeer is the interface between the gates of entry hosts. It concerns
// requests in flight.
type GatePeer interface {
	// Supersede ends the host's earlier attempts at a request, so that a newer
	// attempt on another host can deliver the response. It reports whether there
	// was an earlier attempt.
	Supersede(ctx context.Context, key domain.RequestKey, attempt int) (found bool, err error)
	// Cancel cancels an attempt at an upstream on behalf of a host that cannot
	// reach the upstream. The called host looks up the upstream in its own tables,
	// makes one bounded call and does not forward the request to a third host. An
	// error means that the upstream did not acknowledge the cancellation.
	Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error
}

// Peers provides clients for entry hosts by identifier. For the identifier of
// this host it returns the local implementations.
type Peers interface {
	Keeper(host domain.HostID) Keeper
	Gossip(host domain.HostID) Gossip
	TablePeer(host domain.HostID) TablePeer
	GatePeer(host domain.HostID) GatePeer
}

// Upstreams provides clients for upstreams by identifier and address.
type Upstreams interface {
	Engine(up domain.Upstream) Engine
	Service(up domain.Upstream) Service
}

// Membership is the current view of the entry hosts.
type Membership interface {
	// Self returns the entry of this host.
	Self() domain.Member
	// Members returns all known members, sorted by identifier.
	Members() []domain.Member
}

// TableView is the applied state of the routes and pools tables.
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
