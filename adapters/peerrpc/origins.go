package peerrpc

import (
	"context"
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// originService serves a ports.OriginPeer.
type originService struct{ origins ports.OriginPeer }

func (s originService) Keep(ctx context.Context, origin *peerpb.StreamOrigin) (*peerpb.Empty, error) {
	if s.origins == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	return &peerpb.Empty{}, toTwirp(s.origins.Keep(ctx, originFromPB(origin)))
}

func (s originService) Find(ctx context.Context, query *peerpb.OriginQuery) (*peerpb.OriginReply, error) {
	if s.origins == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	reply, err := s.origins.Find(ctx, ports.OriginQuery{Request: query.GetRequest(), Fingerprint: query.GetFingerprint()})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.OriginReply{Known: reply.Known, Ambiguous: reply.Ambiguous, Origin: originToPB(reply.Origin), Holder: reply.Holder}, nil
}

// originClient implements ports.OriginPeer by asking another host.
type originClient struct {
	host domain.HostID
	rpc  peerpb.OriginService
}

// Keep implements ports.OriginPeer.
func (c originClient) Keep(ctx context.Context, origin ports.StreamOrigin) error {
	_, err := c.rpc.Keep(ctx, originToPB(origin))
	return fromTwirp(ctx, c.host, err)
}

// Find implements ports.OriginPeer.
func (c originClient) Find(ctx context.Context, query ports.OriginQuery) (ports.OriginReply, error) {
	reply, err := c.rpc.Find(ctx, &peerpb.OriginQuery{Request: query.Request, Fingerprint: query.Fingerprint})
	if err != nil {
		return ports.OriginReply{}, fromTwirp(ctx, c.host, err)
	}
	return ports.OriginReply{Known: reply.GetKnown(), Ambiguous: reply.GetAmbiguous(), Origin: originFromPB(reply.GetOrigin()), Holder: reply.GetHolder()}, nil
}

func originToPB(o ports.StreamOrigin) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{Request: o.Request, Fingerprint: o.Fingerprint, Service: o.Service, Version: o.Version, TtlNs: int64(o.TTL), ByContent: o.ByContent, Announced: o.Announced}
}

func originFromPB(o *peerpb.StreamOrigin) ports.StreamOrigin {
	return ports.StreamOrigin{
		Request: o.GetRequest(), Fingerprint: o.GetFingerprint(), Service: o.GetService(), Version: o.GetVersion(),
		TTL: time.Duration(o.GetTtlNs()), ByContent: o.GetByContent(), Announced: o.GetAnnounced(),
	}
}
