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

// DefaultMaxBody is the largest request body in bytes that is read.
const DefaultMaxBody = 8 << 20

// Config holds what the callers' server works with.
type Config struct {
	// Address is the listen address as IP:port.
	Address string
	// TLS is set where the listener speaks TLS.
	TLS  *tls.Config
	Gate *routing.Gate
	Auth Authenticator
	// EntryPoints answers which addresses a caller should use.
	EntryPoints func(entrypoints.Request) entrypoints.Answer
	Membership  ports.Membership
	Tables      ports.TableView
	Counters    *counters.Set
	// Ready reports whether the host has tables.
	Ready func() bool
	// Unreadable lists table rows that could not be decoded.
	Unreadable func() []tables.UnreadableRow
	// Refusing reports whether a stopping host refuses new work.
	Refusing func() bool
	// MaxBody is the largest request body in bytes; zero means DefaultMaxBody.
	MaxBody int64
}

// server holds the handlers.
type server struct {
	cfg Config
}

// NewServer returns the callers' server. It listens when it is started.
func NewServer(cfg Config) *khttp.Server {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	s := &server{cfg: cfg}
	opts := []khttp.ServerOption{
		khttp.Address(cfg.Address),
		// Streams last as long as their answers; routes set their own timeouts.
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

// callerHandler handles a request of an identified caller.
type callerHandler func(w http.ResponseWriter, r *http.Request, caller domain.CallerID)

// authenticated identifies the caller and refuses new work on a stopping host.
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

// ranBefore says what a host knows about a request that it refuses unseen: a
// resend may have run elsewhere.
func ranBefore(r *http.Request) domain.Ran {
	if attempt, err := positiveHeader(r, HeaderRequestAttempt, 1); err == nil && attempt > 1 {
		return domain.RanUnknown
	}
	return domain.RanNo
}
