package gatehttp

import (
	"crypto/tls"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/entrypoints"
	"greengagespoke/ports"
	"greengagespoke/routing"
	"greengagespoke/tables"
)

// DefaultMaxBody is the default limit on the request body in bytes.
const DefaultMaxBody = 8 << 20

// Config holds the dependencies and settings of the server for callers.
type Config struct {
	// Address is the listen address as IP:port.
	Address string
	// TLS is the TLS configuration of the listener; nil disables TLS.
	TLS  *tls.Config
	Gate *routing.Gate
	Auth Authenticator
	// EntryPoints returns the addresses that a caller should use.
	EntryPoints func(entrypoints.Request) entrypoints.Answer
	Membership  ports.Membership
	Tables      ports.TableView
	Counters    *counters.Set
	// Ready reports whether the host has loaded its tables.
	Ready func() bool
	// Unreadable lists table rows that could not be decoded.
	Unreadable func() []tables.UnreadableRow
	// Refusing reports whether the host is stopping and rejects new requests.
	Refusing func() bool
	// MaxBody is the largest request body in bytes; zero means DefaultMaxBody.
	MaxBody int64
}

// server implements the HTTP handlers.
type server struct {
	cfg Config
}

// NewServer returns the server for callers. It listens once it is started.
func NewServer(cfg Config) *khttp.Server {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	s := &server{cfg: cfg}
	opts := []khttp.ServerOption{
		khttp.Address(cfg.Address),
		// A stream stays open until its response is complete, so the server sets no
		// timeout; routes set their own.
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		khttp.NotFoundHandler(http.HandlerFunc(s.notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(s.notFound)),
	}
	if cfg.TLS != nil {
		opts = append(opts, khttp.TLSConfig(cfg.TLS))
	}
	srv := khttp.NewServer(opts...)
	srv.HandleFunc("/healthz", s.health)
	srv.HandleFunc("/readyz", s.ready)
	srv.HandleFunc("/debug/vars", s.vars)
	srv.HandleFunc("/v1/status", s.status)
	srv.HandleFunc("/v1/entrypoints", s.entryPoints)
	srv.HandleFunc("/v1/completions", s.authenticated(s.completions))
	srv.HandleFunc("/v1/chat/completions", s.authenticated(s.chatCompletions))
	srv.HandlePrefix("/", s.authenticated(s.service))
	return srv
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, domain.Refuse(domain.RefusalNotFound, "nothing is served at "+r.URL.Path, "check the path"))
}

// callerHandler handles a request from an identified caller.
type callerHandler func(w http.ResponseWriter, r *http.Request, caller domain.CallerID)

// authenticated identifies the caller, rejects requests while the host is stopping
// and limits the size of the request body.
func (s *server) authenticated(next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, err := s.cfg.Auth.Caller(r)
		if err != nil {
			writeError(w, err)
			return
		}
		if s.cfg.Refusing() {
			writeRefusal(w, domain.Refuse(domain.RefusalLeaving, "this host is stopping",
				"ask for the entry points again and use another address").WithRan(ranBefore(r)))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.cfg.MaxBody)
		next(w, r, caller)
	}
}

// ranBefore returns whether a request that this host rejects before routing has
// run. A resend may have run on another host, so its state is unknown.
func ranBefore(r *http.Request) domain.Ran {
	if attempt, err := positiveIntHeader(r, HeaderRequestAttempt, 1); err == nil && attempt > 1 {
		return domain.RanUnknown
	}
	return domain.RanNo
}
