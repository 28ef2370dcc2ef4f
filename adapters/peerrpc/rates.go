package peerrpc

import (
	"context"
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// rateService serves a ports.RatePeer.
type rateService struct{ rates ports.RatePeer }

func (s rateService) Grant(ctx context.Context, req *peerpb.RateRequest) (*peerpb.RateReply, error) {
	if s.rates == nil {
		return nil, toTwirp(ports.ErrPeerUnreachable)
	}
	reply, err := s.rates.Grant(ctx, ports.RateRequest{
		From: domain.HostID(req.GetFrom()), Process: domain.UpstreamID(req.GetProcess()),
		Limit: rateLimitFromPB(req.GetLimit()), ReportOnly: req.GetReportOnly(),
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.RateReply{Granted: reply.Granted, WaitNs: int64(reply.Wait), Limit: rateLimitToPB(reply.Limit)}, nil
}

// rateClient implements ports.RatePeer by asking another host.
type rateClient struct {
	host domain.HostID
	rpc  peerpb.RateService
}

// Grant implements ports.RatePeer.
func (c rateClient) Grant(ctx context.Context, req ports.RateRequest) (ports.RateReply, error) {
	reply, err := c.rpc.Grant(ctx, &peerpb.RateRequest{
		From: string(req.From), Process: string(req.Process), Limit: rateLimitToPB(req.Limit), ReportOnly: req.ReportOnly,
	})
	if err != nil {
		return ports.RateReply{}, fromTwirp(ctx, c.host, err)
	}
	return ports.RateReply{
		Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitNs()), Limit: rateLimitFromPB(reply.GetLimit()),
	}, nil
}

func rateLimitToPB(l ports.RateLimit) *peerpb.RateLimit {
	return &peerpb.RateLimit{Rate: l.Rate, AgeNs: int64(l.Age)}
}

func rateLimitFromPB(l *peerpb.RateLimit) ports.RateLimit {
	return ports.RateLimit{Rate: l.GetRate(), Age: time.Duration(l.GetAgeNs())}
}
