package peerrpc

import (
	"context"
	"errors"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// keeperService serves a ports.Keeper.
type keeperService struct{ keeper ports.Keeper }

func (s keeperService) Acquire(ctx context.Context, req *peerpb.AcquireRequest) (*peerpb.AcquireResponse, error) {
	grant, err := s.keeper.Acquire(ctx, domain.GroupID(req.GetGroup()), slotRequestFromPB(req.GetPlace()))
	if err == nil {
		return &peerpb.AcquireResponse{Outcome: &peerpb.AcquireResponse_Grant{Grant: grantToPB(grant)}}, nil
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return &peerpb.AcquireResponse{Outcome: &peerpb.AcquireResponse_Refusal{Refusal: refusalToPB(refusal)}}, nil
	}
	if errors.Is(err, ports.ErrStillQueued) {
		return &peerpb.AcquireResponse{Outcome: &peerpb.AcquireResponse_StillQueued{StillQueued: &peerpb.Empty{}}}, nil
	}
	if errors.Is(err, ports.ErrNotKeeper) {
		return &peerpb.AcquireResponse{Outcome: &peerpb.AcquireResponse_NotKeeper{NotKeeper: &peerpb.Empty{}}}, nil
	}
	return nil, toTwirp(err)
}

func (s keeperService) Renew(ctx context.Context, req *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	grants := mapSlice(req.GetGrants(), grantFromPB)
	lost, err := s.keeper.Renew(ctx, domain.GroupID(req.GetGroup()), domain.HostID(req.GetHolder()), grants)
	if errors.Is(err, ports.ErrNotKeeper) {
		return &peerpb.RenewResponse{NotKeeper: true}, nil
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.RenewResponse{Lost: mapSlice(lost, func(id domain.GrantID) string { return string(id) })}, nil
}

func (s keeperService) Release(ctx context.Context, req *peerpb.ReleaseRequest) (*peerpb.Empty, error) {
	err := s.keeper.Release(ctx, domain.GroupID(req.GetGroup()), mapSlice(req.GetReleases(), releaseFromPB))
	return &peerpb.Empty{}, toTwirp(err)
}

func (s keeperService) Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.Empty, error) {
	err := s.keeper.Withdraw(ctx, domain.GroupID(req.GetGroup()), attemptFromPB(req.GetId()))
	return &peerpb.Empty{}, toTwirp(err)
}

// gossipService serves a ports.Gossip.
type gossipService struct{ gossip ports.Gossip }

func (s gossipService) Probe(ctx context.Context, msg *peerpb.ProbeMessage) (*peerpb.ProbeMessage, error) {
	answer, err := s.gossip.Probe(ctx, probeFromPB(msg))
	return probeToPB(answer), toTwirp(err)
}

func (s gossipService) ProbeVia(ctx context.Context, req *peerpb.ProbeViaRequest) (*peerpb.ProbeMessage, error) {
	answer, err := s.gossip.ProbeVia(ctx, domain.HostID(req.GetTarget()), probeFromPB(req.GetMessage()))
	return probeToPB(answer), toTwirp(err)
}

func (s gossipService) Sync(ctx context.Context, view *peerpb.View) (*peerpb.View, error) {
	answer, err := s.gossip.Sync(ctx, viewFromPB(view))
	return viewToPB(answer), toTwirp(err)
}

// tableService serves a ports.TablePeer.
type tableService struct{ tables ports.TablePeer }

func (s tableService) Changes(ctx context.Context, req *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	changes, complete, err := s.tables.Changes(ctx, domain.Revision(req.GetAfter()), int(req.GetLimit()))
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.ChangesResponse{Changes: mapSlice(changes, changeToPB), Complete: complete}, nil
}

func (s tableService) Snapshot(ctx context.Context, _ *peerpb.Empty) (*peerpb.SnapshotResponse, error) {
	snapshot, err := s.tables.Snapshot(ctx)
	return snapshotToPB(snapshot), toTwirp(err)
}

func (s tableService) Announce(ctx context.Context, req *peerpb.AnnounceRequest) (*peerpb.Empty, error) {
	err := s.tables.Announce(ctx, mapSlice(req.GetChanges(), changeFromPB))
	return &peerpb.Empty{}, toTwirp(err)
}

// gateService serves a ports.GatePeer.
type gateService struct{ gate ports.GatePeer }

func (s gateService) Supersede(ctx context.Context, req *peerpb.SupersedeRequest) (*peerpb.SupersedeResponse, error) {
	key := domain.RequestKey{Caller: domain.CallerID(req.GetCaller()), Request: domain.RequestID(req.GetRequest())}
	found, err := s.gate.Supersede(ctx, key, int(req.GetAttempt()))
	return &peerpb.SupersedeResponse{Found: found}, toTwirp(err)
}

func (s gateService) Cancel(ctx context.Context, req *peerpb.CancelRequest) (*peerpb.Empty, error) {
	pool, upstream := domain.PoolName(req.GetPool()), domain.UpstreamID(req.GetUpstream())
	err := s.gate.Cancel(ctx, pool, upstream, attemptFromPB(req.GetId()))
	return &peerpb.Empty{}, toTwirp(err)
}
