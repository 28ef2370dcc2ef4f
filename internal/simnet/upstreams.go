package simnet

import (
	"context"
	"errors"
	"io"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// Engines finds the engine that stands for an upstream.
type Engines func(id domain.UpstreamID) (ports.Engine, bool)

// Upstreams returns the engines as a host reaches them over the network.
func (n *Network) Upstreams(self domain.HostID, zone domain.Zone, engines Engines) ports.Upstreams {
	return &upstreams{network: n, self: Node{Name: string(self), Zone: zone}, engines: engines}
}

type upstreams struct {
	network *Network
	self    Node
	engines Engines
}

// Engine implements ports.Upstreams.
func (u *upstreams) Engine(up domain.Upstream) ports.Engine {
	return &remoteEngine{upstreams: u, node: Node{Name: string(up.ID), Zone: up.Zone}, id: up.ID}
}

// Service implements ports.Upstreams. The network carries no service calls.
func (u *upstreams) Service(domain.Upstream) ports.Service {
	return unreachableService{}
}

type unreachableService struct{}

// Call implements ports.Service.
func (unreachableService) Call(context.Context, ports.ServiceRequest) (ports.ServiceResponse, error) {
	return ports.ServiceResponse{}, &ports.ServiceError{Message: "no service on this network"}
}

// Listening implements ports.Service.
func (unreachableService) Listening(context.Context) (bool, error) { return false, errUnreachable }

// remoteEngine is an engine at the other end of a link.
type remoteEngine struct {
	upstreams *upstreams
	node      Node
	id        domain.UpstreamID
}

// call runs f on the engine and returns the engine's error or EngineUnreachable.
func (e *remoteEngine) call(ctx context.Context, key uint64, f func(ports.Engine) error) error {
	engine, ok := e.upstreams.engines(e.id)
	if !ok {
		return e.unreachable(errUnreachable)
	}
	var result error
	err := e.upstreams.network.call(ctx, e.upstreams.self, e.node, key, func() { result = f(engine) })
	if err != nil {
		return e.unreachable(err)
	}
	return result
}

func (e *remoteEngine) unreachable(err error) error {
	return &ports.EngineError{Kind: ports.EngineUnreachable, Upstream: e.id, Message: err.Error()}
}

// Prefill implements ports.Engine.
func (e *remoteEngine) Prefill(ctx context.Context, req ports.PrefillRequest) (res ports.PrefillResult, err error) {
	err = e.call(ctx, messageKey("prefill", req.ID), func(engine ports.Engine) (err error) {
		res, err = engine.Prefill(ctx, req)
		return err
	})
	return res, err
}

// Import implements ports.Engine.
func (e *remoteEngine) Import(ctx context.Context, req ports.ImportRequest) error {
	return e.call(ctx, messageKey("import", req.ID), func(engine ports.Engine) error {
		return engine.Import(ctx, req)
	})
}

// Cancel implements ports.Engine.
func (e *remoteEngine) Cancel(ctx context.Context, id domain.AttemptID) error {
	return e.call(ctx, messageKey("cancel", id), func(engine ports.Engine) error {
		return engine.Cancel(ctx, id)
	})
}

// List implements ports.Engine.
func (e *remoteEngine) List(ctx context.Context) (list []ports.Running, err error) {
	err = e.call(ctx, messageKey("list"), func(engine ports.Engine) (err error) {
		list, err = engine.List(ctx)
		return err
	})
	return list, err
}

// Load implements ports.Engine.
func (e *remoteEngine) Load(ctx context.Context) (load ports.Load, err error) {
	err = e.call(ctx, messageKey("load"), func(engine ports.Engine) (err error) {
		load, err = engine.Load(ctx)
		return err
	})
	return load, err
}

// CacheEvents implements ports.Engine.
func (e *remoteEngine) CacheEvents(ctx context.Context, after uint64) (events []ports.CacheEvent, err error) {
	err = e.call(ctx, messageKey("events", after), func(engine ports.Engine) (err error) {
		events, err = engine.CacheEvents(ctx, after)
		return err
	})
	return events, err
}

// Order implements ports.Engine.
func (e *remoteEngine) Order(ctx context.Context, order ports.Order) error {
	return e.call(ctx, messageKey("order", order), func(engine ports.Engine) error {
		return engine.Order(ctx, order)
	})
}

// Decode implements ports.Engine.
func (e *remoteEngine) Decode(ctx context.Context, id domain.AttemptID, after int) (ports.FrameStream, error) {
	var inner ports.FrameStream
	err := e.call(ctx, messageKey("decode", id, after), func(engine ports.Engine) (err error) {
		inner, err = engine.Decode(ctx, id, after)
		return err
	})
	if err != nil {
		if inner != nil {
			_ = inner.Close()
		}
		return nil, err
	}
	return &remoteStream{engine: e, inner: inner, key: messageKey("frames", id)}, nil
}

// remoteStream delays frames by the time they take over the network.
type remoteStream struct {
	engine *remoteEngine
	inner  ports.FrameStream
	key    uint64
	last   time.Time
	// held is a frame that has left the engine but not arrived.
	held   *domain.Frame
	heldAt time.Time
}

// emitter is a stream that knows when the engine produced its last frame.
type emitter interface {
	EmittedAt() time.Time
}

// Next implements ports.FrameStream.
func (s *remoteStream) Next(ctx context.Context) (domain.Frame, error) {
	if s.held == nil {
		frame, err := s.inner.Next(ctx)
		if errors.Is(err, io.EOF) {
			return domain.Frame{}, err
		}
		if err != nil {
			return domain.Frame{}, s.broken(ctx, err)
		}
		s.held = &frame
		s.heldAt = s.arrival(frame)
	}
	if err := s.arrive(ctx); err != nil {
		return domain.Frame{}, err
	}
	frame := *s.held
	s.held = nil
	return frame, nil
}

// broken returns the error that ended the engine's stream when it reaches the host.
func (s *remoteStream) broken(ctx context.Context, err error) error {
	n := s.engine.upstreams.network
	if ctx.Err() == nil {
		pause.For(ctx, n.delay(s.engine.node, s.engine.upstreams.self, s.key))
	}
	return err
}

// arrival returns when a frame reaches the host. Frames of one connection do not
// overtake each other.
func (s *remoteStream) arrival(frame domain.Frame) time.Time {
	sent := time.Now()
	if inner, ok := s.inner.(emitter); ok {
		sent = inner.EmittedAt()
	}
	n := s.engine.upstreams.network
	key := s.key ^ mix(uint64(frame.Number))
	at := sent.Add(n.delay(s.engine.node, s.engine.upstreams.self, key))
	if at.Before(s.last) {
		at = s.last
	}
	s.last = at
	return at
}

// arrive waits for the held frame. On a cut link it waits until the link is
// mended; a dead node breaks the connection.
func (s *remoteStream) arrive(ctx context.Context) error {
	n := s.engine.upstreams.network
	if !pause.For(ctx, time.Until(s.heldAt)) {
		return ctx.Err()
	}
	for {
		dead, cut := n.state(s.engine.upstreams.self, s.engine.node)
		if dead || n.Dead(s.engine.upstreams.self.Name) {
			return s.engine.unreachable(errUnreachable)
		}
		if !cut {
			return nil
		}
		if !pause.For(ctx, retransmit) {
			return ctx.Err()
		}
	}
}

// Close implements ports.FrameStream.
func (s *remoteStream) Close() error {
	return s.inner.Close()
}
