package peerrpc

import (
	"context"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// unreachable is the client for a host without a known address. All calls return
// ports.ErrPeerUnreachable.
type unreachable struct{}

// Acquire implements ports.Keeper.
func (unreachable) Acquire(context.Context, domain.GroupID, domain.SlotRequest) (domain.Grant, error) {
	return domain.Grant{}, ports.ErrPeerUnreachable
}

// Renew implements ports.Keeper.
func (unreachable) Renew(context.Context, domain.GroupID, domain.HostID, []domain.Grant) ([]domain.GrantID, error) {
	return nil, ports.ErrPeerUnreachable
}

// Release implements ports.Keeper.
func (unreachable) Release(context.Context, domain.GroupID, []domain.Release) error {
	return ports.ErrPeerUnreachable
}

// Withdraw implements ports.Keeper.
func (unreachable) Withdraw(context.Context, domain.GroupID, domain.AttemptID) error {
	return ports.ErrPeerUnreachable
}

// Probe implements ports.Gossip.
func (unreachable) Probe(context.Context, ports.ProbeMessage) (ports.ProbeMessage, error) {
	return ports.ProbeMessage{}, ports.ErrPeerUnreachable
}

// ProbeVia implements ports.Gossip.
func (unreachable) ProbeVia(context.Context, domain.HostID, ports.ProbeMessage) (ports.ProbeMessage, error) {
	return ports.ProbeMessage{}, ports.ErrPeerUnreachable
}

// Sync implements ports.Gossip.
func (unreachable) Sync(context.Context, []domain.Member) ([]domain.Member, error) {
	return nil, ports.ErrPeerUnreachable
}

// Changes implements ports.TablePeer.
func (unreachable) Changes(context.Context, domain.Revision, int) ([]domain.Change, bool, error) {
	return nil, false, ports.ErrPeerUnreachable
}

// Snapshot implements ports.TablePeer.
func (unreachable) Snapshot(context.Context) (ports.TableSnapshot, error) {
	return ports.TableSnapshot{}, ports.ErrPeerUnreachable
}

// Announce implements ports.TablePeer.
func (unreachable) Announce(context.Context, []domain.Change) error {
	return ports.ErrPeerUnreachable
}

// Supersede implements ports.GatePeer.
func (unreachable) Supersede(context.Context, domain.RequestKey, int) (bool, error) {
	return false, ports.ErrPeerUnreachable
}

// Cancel implements ports.GatePeer.
func (unreachable) Cancel(context.Context, domain.PoolName, domain.UpstreamID, domain.AttemptID) error {
	return ports.ErrPeerUnreachable
}

// Read implements ports.Relay.
func (unreachable) Read(context.Context, ports.RelayRequest) (ports.RelayPage, error) {
	return ports.RelayPage{}, ports.ErrPeerUnreachable
}

// Grant implements ports.RatePeer.
func (unreachable) Grant(context.Context, ports.RateRequest) (ports.RateReply, error) {
	return ports.RateReply{}, ports.ErrPeerUnreachable
}

// Keep implements ports.OriginPeer.
func (unreachable) Keep(context.Context, ports.StreamOrigin) error { return ports.ErrPeerUnreachable }

// Find implements ports.OriginPeer.
func (unreachable) Find(context.Context, ports.OriginQuery) (ports.OriginReply, error) {
	return ports.OriginReply{}, ports.ErrPeerUnreachable
}

// Reach implements ports.ReachPeer.
func (unreachable) Reach(context.Context, ports.ReachQuery) (ports.ReachReply, error) {
	return ports.ReachReply{}, ports.ErrPeerUnreachable
}

// Take implements ports.QuotaPeer.
func (unreachable) Take(context.Context, ports.QuotaRequest) (ports.QuotaReply, error) {
	return ports.QuotaReply{}, ports.ErrPeerUnreachable
}

// GiveBack implements ports.QuotaPeer.
func (unreachable) GiveBack(context.Context, ports.QuotaReturn) error {
	return ports.ErrPeerUnreachable
}
