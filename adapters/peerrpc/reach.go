package peerrpc

import (
	"context"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// reachService serves a ports.ReachPeer.
type reachService struct{ reach ports.ReachPeer }

func (s reachService) Reach(ctx context.Context, query *peerpb.ReachQuery) (*peerpb.ReachReply, error) {
	if s.reach == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	reply, err := s.reach.Reach(ctx, ports.ReachQuery{Service: query.GetService(), Upstream: domain.UpstreamID(query.GetUpstream())})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.ReachReply{Reached: reply.Reached, Tried: reply.Tried, Listening: reply.Listening}, nil
}

// reachClient implements ports.ReachPeer by asking another host.
type reachClient struct {
	host domain.HostID
	rpc  peerpb.ReachService
}

// Reach implements ports.ReachPeer.
func (c reachClient) Reach(ctx context.Context, query ports.ReachQuery) (ports.ReachReply, error) {
	reply, err := c.rpc.Reach(ctx, &peerpb.ReachQuery{Service: query.Service, Upstream: string(query.Upstream)})
	if err != nil {
		return ports.ReachReply{}, fromTwirp(ctx, c.host, err)
	}
	return ports.ReachReply{Reached: reply.GetReached(), Tried: reply.GetTried(), Listening: reply.GetListening()}, nil
}
