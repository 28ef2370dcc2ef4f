package peerrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/counters"
	"greengagespoke/internal/membudget"
	"greengagespoke/ports"
)

const (
	// maxRequestBytes limits the body of a request from another host.
	maxRequestBytes = 16 << 20
	// timeoutHeader carries the time until the calling host's deadline in
	// microseconds.
	timeoutHeader = "Timeout"
)

// pathPrefixes maps the path prefix of each twirp service to its name.
var pathPrefixes = map[string]service{
	peerpb.KeeperServicePathPrefix: serviceKeeper,
	peerpb.GossipServicePathPrefix: serviceGossip,
	peerpb.TableServicePathPrefix:  serviceTables,
	peerpb.GateServicePathPrefix:   serviceGate,
	peerpb.RelayServicePathPrefix:  serviceRelay,
	peerpb.RateServicePathPrefix:   serviceRates,
	peerpb.OriginServicePathPrefix: serviceOrigins,
	peerpb.ReachServicePathPrefix:  serviceReach,
	peerpb.QuotaServicePathPrefix:  serviceQuotas,
}

// ServerConfig holds the local implementations that other hosts may call, and the
// settings of the server.
type ServerConfig struct {
	Keeper ports.Keeper
	Gossip ports.Gossip
	Tables ports.TablePeer
	Gate   ports.GatePeer
	// Relay serves store rows to other hosts. If it is nil, reads fail with
	// ports.ErrRelayStale.
	Relay ports.Relay
	// Rates grants requests to upstreams with a rate limit. If it is nil, calls fail with
	// ports.ErrPeerUnreachable.
	Rates ports.RatePeer
	// Origins keeps the origins of streams. If it is nil, calls fail with
	// ports.ErrPeerUnreachable.
	Origins ports.OriginPeer
	// Reach tells what this host reaches. If it is nil, calls fail with
	// ports.ErrPeerUnreachable.
	Reach ports.ReachPeer
	// Quotas grants tokens of customers' quotas. If it is nil, calls fail with
	// ports.ErrPeerUnreachable.
	Quotas ports.QuotaPeer
	// Key is the secret that all hosts share.
	Key string
	// ClockSkew is the largest accepted difference between the wall clocks of two
	// hosts; zero means a minute.
	ClockSkew time.Duration
	// Counters receives the traffic counters; nil discards them.
	Counters *counters.Set
	// Memory is the memory for the bodies of requests. If it is nil, it is not limited.
	Memory *membudget.Budget
}

// NewServer returns the HTTP handler for requests from other hosts. Requests that
// are not signed with the key get the twirp error "unauthenticated".
func NewServer(cfg ServerConfig) http.Handler {
	mux := http.NewServeMux()
	for _, s := range []peerpb.TwirpServer{
		peerpb.NewKeeperServiceServer(keeperService{cfg.Keeper}),
		peerpb.NewGossipServiceServer(gossipService{cfg.Gossip}),
		peerpb.NewTableServiceServer(tableService{cfg.Tables}),
		peerpb.NewGateServiceServer(gateService{cfg.Gate}),
		peerpb.NewRelayServiceServer(relayService{cfg.Relay}),
		peerpb.NewRateServiceServer(rateService{cfg.Rates}),
		peerpb.NewOriginServiceServer(originService{cfg.Origins}),
		peerpb.NewReachServiceServer(reachService{cfg.Reach}),
		peerpb.NewQuotaServiceServer(quotaService{cfg.Quotas}),
	} {
		mux.Handle(s.PathPrefix(), s)
	}
	auth := newAuthenticator(cfg.Key, time.Now)
	if cfg.ClockSkew > 0 {
		auth.maxSkew = cfg.ClockSkew
	}
	if cfg.Memory == nil {
		cfg.Memory = membudget.New(0, cfg.Counters)
	}
	return &server{
		next:    mux,
		auth:    auth,
		traffic: newTraffic(cfg.Counters),
		memory:  cfg.Memory,
	}
}

// server authenticates and counts requests before they reach the services.
type server struct {
	next    http.Handler
	auth    *authenticator
	traffic *traffic
	memory  *membudget.Budget
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var hold membudget.Hold
	s.memory.Open(&hold)
	defer hold.Release()
	body, err := membudget.Read(r.Body, membudget.Body{Use: membudget.Messages, Declared: r.ContentLength, Max: maxRequestBytes}, &hold)
	if err != nil {
		s.writeBodyError(w, r, err)
		return
	}
	if err := s.auth.verify(r, body); err != nil {
		s.traffic.unauthenticated.Add(1)
		_ = twirp.WriteError(w, twirp.Unauthenticated.Error(err.Error()))
		return
	}
	ctx, cancel := contextWithCallerDeadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	counted := &countingWriter{ResponseWriter: w, status: http.StatusOK}
	// Peers do not use the Date header, so it is omitted.
	w.Header()["Date"] = nil
	s.next.ServeHTTP(counted, r)
	if name, ok := serviceOf(r.URL.Path); ok {
		s.traffic.byService[name].received(requestSize(r, len(body)))
		s.traffic.byService[name].sent(responseSize(counted.status, w.Header(), counted.bytes))
	}
}

func (s *server) writeBodyError(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		_ = twirp.WriteError(w, twirp.ResourceExhausted.Error("request body is too large; send less in one call"))
	case errors.Is(err, membudget.ErrNoRoom):
		klog.InfoS("message of another host refused for lack of memory", "path", r.URL.Path, "size", r.ContentLength, "held", s.memory.HeldInAll(), "budget", s.memory.Total())
		_ = twirp.WriteError(w, twirp.Unavailable.Error("no memory is left for the request body; send it again later"))
	default:
		_ = twirp.WriteError(w, twirp.Malformed.Error("request body could not be read; send it again"))
	}
}

// contextWithCallerDeadline returns the request's context with the deadline that
// the calling host sent, if any.
func contextWithCallerDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	micros, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(micros)*time.Microsecond)
}

// countingWriter records the status and the body size in bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	status int
	bytes  int
}

// WriteHeader implements http.ResponseWriter.
func (w *countingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += n
	return n, err
}
