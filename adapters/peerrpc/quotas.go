package peerrpc

import (
	"context"
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// quotaService serves a ports.QuotaPeer.
type quotaService struct{ quotas ports.QuotaPeer }

func (s quotaService) Take(ctx context.Context, req *peerpb.QuotaRequest) (*peerpb.QuotaReply, error) {
	if s.quotas == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	reply, err := s.quotas.Take(ctx, ports.QuotaRequest{
		From: domain.HostID(req.GetFrom()), Customer: req.GetCustomer(), Part: int(req.GetPart()),
		Needed: req.GetNeeded(), Spare: req.GetSpare(), ConfigVersion: domain.Revision(req.GetConfigVersion()),
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.QuotaReply{Granted: reply.Granted, WaitNs: int64(reply.Wait), NotGranting: reply.NotGranting}, nil
}

func (s quotaService) GiveBack(ctx context.Context, ret *peerpb.QuotaReturn) (*peerpb.Empty, error) {
	if s.quotas == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	err := s.quotas.GiveBack(ctx, ports.QuotaReturn{
		Customer: ret.GetCustomer(), Part: int(ret.GetPart()), Tokens: ret.GetTokens(), Age: time.Duration(ret.GetAgeNs()),
	})
	return &peerpb.Empty{}, toTwirp(err)
}

// quotaClient implements ports.QuotaPeer by asking another host.
type quotaClient struct {
	host domain.HostID
	rpc  peerpb.QuotaService
}

// Take implements ports.QuotaPeer.
func (c quotaClient) Take(ctx context.Context, req ports.QuotaRequest) (ports.QuotaReply, error) {
	reply, err := c.rpc.Take(ctx, &peerpb.QuotaRequest{
		From: string(req.From), Customer: req.Customer, Part: int32(req.Part), //nolint:gosec // Parts are few.
		Needed: req.Needed, Spare: req.Spare, ConfigVersion: int64(req.ConfigVersion),
	})
	if err != nil {
		return ports.QuotaReply{}, fromTwirp(ctx, c.host, err)
	}
	return ports.QuotaReply{
		Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitNs()), NotGranting: reply.GetNotGranting(),
	}, nil
}

// GiveBack implements ports.QuotaPeer.
func (c quotaClient) GiveBack(ctx context.Context, ret ports.QuotaReturn) error {
	_, err := c.rpc.GiveBack(ctx, &peerpb.QuotaReturn{
		Customer: ret.Customer, Part: int32(ret.Part), Tokens: ret.Tokens, AgeNs: int64(ret.Age), //nolint:gosec // Parts are few.
	})
	if err != nil {
		return fromTwirp(ctx, c.host, err)
	}
	return nil
}
