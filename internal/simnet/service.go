package simnet

import (
	"context"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Service returns a plain service as a host reaches it over the network.
func (n *Network) Service(self domain.HostID, zone domain.Zone, up domain.Upstream, service ports.Service) ports.Service {
	return &remoteService{
		network: n,
		from:    Node{Name: string(self), Zone: zone},
		to:      Node{Name: string(up.ID), Zone: up.Zone},
		inner:   service,
	}
}

// remoteService is a plain service at the other end of a link.
type remoteService struct {
	network  *Network
	from, to Node
	inner    ports.Service
}

// Listening implements ports.Service. A network that loses messages does not tell.
func (s *remoteService) Listening(ctx context.Context) (bool, error) {
	if err := s.network.send(ctx, s.from, s.to, messageKey("listening", s.to.Name)); err != nil {
		return false, err
	}
	return s.inner.Listening(ctx)
}

// Call implements ports.Service. A call that does not reach the service was not
// sent; an answer that does not come back was.
func (s *remoteService) Call(ctx context.Context, req ports.ServiceRequest) (ports.ServiceResponse, error) {
	key := messageKey("service", req.Method, req.Path, req.Header)
	if err := s.network.send(ctx, s.from, s.to, key); err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Message: err.Error()}
	}
	resp, err := s.inner.Call(ctx, req)
	if err != nil {
		return resp, err
	}
	if err := s.network.send(ctx, s.to, s.from, key+1); err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Message: err.Error()}
	}
	return resp, nil
}
