package peerrpc

import (
	"context"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// keeperClient implements ports.Keeper by calling the keeper of another host.
type keeperClient struct {
	host domain.HostID
	rpc  peerpb.KeeperService
}

// Acquire implements ports.Keeper.
func (c keeperClient) Acquire(ctx context.Context, group domain.GroupID, req domain.SlotRequest) (domain.Grant, error) {
	resp, err := c.rpc.Acquire(ctx, &peerpb.AcquireRequest{Group: string(group), Place: slotRequestToPB(req)})
	if err != nil {
		return domain.Grant{}, fromTwirp(ctx, c.host, err)
	}
	switch outcome := resp.GetOutcome().(type) {
	case *peerpb.AcquireResponse_Grant:
		return grantFromPB(outcome.Grant), nil
	case *peerpb.AcquireResponse_Refusal:
		return domain.Grant{}, refusalFromPB(outcome.Refusal)
	case *peerpb.AcquireResponse_StillQueued:
		return domain.Grant{}, ports.ErrStillQueued
	default:
		return domain.Grant{}, ports.ErrNotKeeper
	}
}

// Renew implements ports.Keeper.
func (c keeperClient) Renew(ctx context.Context, group domain.GroupID, holder domain.HostID, grants []domain.Grant) ([]domain.GrantID, error) {
	resp, err := c.rpc.Renew(ctx, &peerpb.RenewRequest{
		Group:  string(group),
		Holder: string(holder),
		Grants: mapSlice(grants, grantToPB),
	})
	if err != nil {
		return nil, fromTwirp(ctx, c.host, err)
	}
	if resp.GetNotKeeper() {
		return nil, ports.ErrNotKeeper
	}
	return mapSlice(resp.GetLost(), func(id string) domain.GrantID { return domain.GrantID(id) }), nil
}

// Release implements ports.Keeper.
func (c keeperClient) Release(ctx context.Context, group domain.GroupID, releases []domain.Release) error {
	_, err := c.rpc.Release(ctx, &peerpb.ReleaseRequest{Group: string(group), Releases: mapSlice(releases, releaseToPB)})
	return fromTwirp(ctx, c.host, err)
}

// Withdraw implements ports.Keeper.
func (c keeperClient) Withdraw(ctx context.Context, group domain.GroupID, id domain.AttemptID) error {
	_, err := c.rpc.Withdraw(ctx, &peerpb.WithdrawRequest{Group: string(group), Id: attemptToPB(id)})
	return fromTwirp(ctx, c.host, err)
}

// gossipClient implements ports.Gossip by calling the membership service of
// another host.
type gossipClient struct {
	host domain.HostID
	rpc  peerpb.GossipService
}

// Probe implements ports.Gossip.
func (c gossipClient) Probe(ctx context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	resp, err := c.rpc.Probe(ctx, probeToPB(msg))
	return probeFromPB(resp), fromTwirp(ctx, c.host, err)
}

// ProbeVia implements ports.Gossip.
func (c gossipClient) ProbeVia(ctx context.Context, target domain.HostID, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	resp, err := c.rpc.ProbeVia(ctx, &peerpb.ProbeViaRequest{Target: string(target), Message: probeToPB(msg)})
	return probeFromPB(resp), fromTwirp(ctx, c.host, err)
}

// Sync implements ports.Gossip.
func (c gossipClient) Sync(ctx context.Context, view []domain.Member) ([]domain.Member, error) {
	resp, err := c.rpc.Sync(ctx, viewToPB(view))
	return viewFromPB(resp), fromTwirp(ctx, c.host, err)
}

// tableClient implements ports.TablePeer by calling the table replica of another
// host.
type tableClient struct {
	host domain.HostID
	rpc  peerpb.TableService
}

// Changes implements ports.TablePeer.
func (c tableClient) Changes(ctx context.Context, after domain.Revision, limit int) ([]domain.Change, bool, error) {
	resp, err := c.rpc.Changes(ctx, &peerpb.ChangesRequest{After: int64(after), Limit: int32(limit)})
	if err != nil {
		return nil, false, fromTwirp(ctx, c.host, err)
	}
	return mapSlice(resp.GetChanges(), changeFromPB), resp.GetComplete(), nil
}

// Snapshot implements ports.TablePeer.
func (c tableClient) Snapshot(ctx context.Context) (ports.TableSnapshot, error) {
	resp, err := c.rpc.Snapshot(ctx, &peerpb.Empty{})
	return snapshotFromPB(resp), fromTwirp(ctx, c.host, err)
}

// Announce implements ports.TablePeer.
func (c tableClient) Announce(ctx context.Context, changes []domain.Change) error {
	_, err := c.rpc.Announce(ctx, &peerpb.AnnounceRequest{Changes: mapSlice(changes, changeToPB)})
	return fromTwirp(ctx, c.host, err)
}

// gateClient implements ports.GatePeer by calling the gate of another host.
type gateClient struct {
	host domain.HostID
	rpc  peerpb.GateService
}

// Supersede implements ports.GatePeer.
func (c gateClient) Supersede(ctx context.Context, key domain.RequestKey, attempt int) (bool, error) {
	resp, err := c.rpc.Supersede(ctx, &peerpb.SupersedeRequest{
		Caller:  string(key.Caller),
		Request: string(key.Request),
		Attempt: int32(attempt),
	})
	return resp.GetFound(), fromTwirp(ctx, c.host, err)
}

// Cancel implements ports.GatePeer.
func (c gateClient) Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error {
	_, err := c.rpc.Cancel(ctx, &peerpb.CancelRequest{
		Pool:     string(pool),
		Upstream: string(upstream),
		Id:       attemptToPB(id),
	})
	return fromTwirp(ctx, c.host, err)
}
