// Package entry is the daemon of one entry host: it connects a host's decisions
// to the network according to its settings. It is the front door of the library
// for programs that embed an entry host.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"greengagespoke/adapters/gatehttp"
	"greengagespoke/adapters/logging"
	"greengagespoke/adapters/peerrpc"
	"greengagespoke/adapters/platformhttp"
	"greengagespoke/adapters/settings"
	"greengagespoke/adapters/upstreams"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/host"
	"greengagespoke/ports"
)

const (
	// appName is the name under which the framework logs.
	appName = "greengagespoke"
	// serverStop bounds the closing of idle connections after the drain.
	serverStop = 5 * time.Second
	// unusedSignal keeps the framework from handling signals: the context given
	// to Run decides when the daemon stops.
	unusedSignal = syscall.SIGUSR2
)

// Daemon is one entry host with its listeners.
type Daemon struct {
	settings *settings.Settings
	host     *host.Host
	app      *kratos.App
}

// New returns a daemon for checked settings. Nothing listens before Run.
func New(s *settings.Settings) (*Daemon, error) {
	logging.UseKlog()
	platform, err := platformhttp.New(PlatformConfig(s))
	if err != nil {
		return nil, err
	}
	peerClient, err := PeerHTTPClient(s)
	if err != nil {
		return nil, err
	}
	set := counters.NewSet()
	h := host.New(host.Config{
		Self:              self(s),
		Store:             platform.Tables(),
		Objects:           platform.Objects(),
		HostList:          platform.Hosts(),
		Upstreams:         upstreams.New(),
		Clock:             ports.SystemClock{},
		Counters:          set,
		MakePeers:         peersMaker(s, peerClient, set),
		EntryPointsMaxAge: s.Timings.EntrypointsMaxAge.D(),
		DrainMargin:       s.Timings.DrainMargin.D(),
		TablePoll:         s.Timings.TablePoll.D(),
		HostListPoll:      s.Timings.HostListPoll.D(),

		StoreWritesPerSecond: s.Limits.StoreWritesPerSecond,
		StoreReadsPerSecond:  s.Limits.StoreReadsPerSecond,
	})
	d := &Daemon{settings: s, host: h}
	callers, err := callerServer(s, h, set)
	if err != nil {
		return nil, err
	}
	peers, err := peerServer(s, h, set)
	if err != nil {
		return nil, err
	}
	d.app = kratos.New(
		kratos.ID(string(s.Host.ID)),
		kratos.Name(appName),
		kratos.Server(callers, peers),
		kratos.Signal(unusedSignal),
		kratos.StopTimeout(serverStop),
	)
	return d, nil
}

// PlatformConfig returns where the platform's services are.
func PlatformConfig(s *settings.Settings) platformhttp.Config {
	return platformhttp.Config{
		TablesURL:  s.Platform.Tables,
		ObjectsURL: s.Platform.Objects,
		Bucket:     s.Platform.Bucket,
		HostsURL:   s.Platform.HostList,
		Token:      string(s.Platform.Token),
		Timeout:    s.Platform.Timeout.D(),
	}
}

func self(s *settings.Settings) domain.Member {
	return domain.Member{
		ID:            s.Host.ID,
		Zone:          s.Host.AvailabilityZone,
		PeerAddress:   s.Listen.Peers.Advertise,
		CallerAddress: s.Listen.Callers.Advertise,
		State:         domain.MemberAlive,
	}
}

// Run serves until ctx is done, then makes a planned stop: it returns after
// every request in flight has ended. Where a listener fails, it returns the
// error at once.
func (d *Daemon) Run(ctx context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var all errgroup.Group
	all.Go(func() error {
		defer stopLoops()
		return eris.Wrap(d.app.Run(), "a listener failed; check the addresses under listen")
	})
	all.Go(func() error { return d.host.Run(loopCtx) })
	all.Go(func() error {
		select {
		case <-ctx.Done():
		case <-loopCtx.Done():
			return nil
		}
		klog.Infof("host %s is leaving", d.settings.Host.ID)
		err := d.host.Leave(context.WithoutCancel(ctx))
		klog.Infof("host %s has drained", d.settings.Host.ID)
		stopLoops()
		return cmp.Or(err, d.app.Stop())
	})
	return all.Wait()
}

// Host returns the decisions of the daemon's host, for programs that embed it.
func (d *Daemon) Host() *host.Host { return d.host }

// callerServer returns the listener for callers.
func callerServer(s *settings.Settings, h *host.Host, set *counters.Set) (*khttp.Server, error) {
	tlsConfig, err := serverTLS(s.Listen.Callers.TLS)
	if err != nil {
		return nil, err
	}
	return gatehttp.NewServer(gatehttp.Config{
		Address:     s.Listen.Callers.Address,
		TLS:         tlsConfig,
		Gate:        h.Gate,
		Auth:        authenticator(s),
		EntryPoints: h.EntryPoints,
		Membership:  h.Membership,
		Tables:      h.Tables,
		Counters:    set,
		Ready:       h.Tables.Ready,
		Unreadable:  h.Tables.Unreadable,
		Refusing:    h.Refusing,
		MaxBody:     s.Limits.MaxBodyBytes,
	}), nil
}

func authenticator(s *settings.Settings) gatehttp.Authenticator {
	if s.Auth.Mode == settings.AuthNone {
		return gatehttp.NoAuth{}
	}
	keys := make([]gatehttp.TokenKey, len(s.Auth.Keys))
	for i, key := range s.Auth.Keys {
		keys[i] = gatehttp.TokenKey{ID: key.ID, Secret: []byte(key.Secret)}
	}
	return gatehttp.NewTokenAuth(keys, s.Auth.Issuer, s.Auth.Audience)
}

// peerServer returns the listener for other hosts.
func peerServer(s *settings.Settings, h *host.Host, set *counters.Set) (*khttp.Server, error) {
	tlsConfig, err := serverTLS(s.Listen.Peers.TLS)
	if err != nil {
		return nil, err
	}
	opts := []khttp.ServerOption{
		khttp.Address(s.Listen.Peers.Address),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		khttp.NotFoundHandler(http.NotFoundHandler()),
	}
	if tlsConfig != nil {
		opts = append(opts, khttp.TLSConfig(tlsConfig))
	}
	srv := khttp.NewServer(opts...)
	srv.HandlePrefix("/", peerrpc.NewServer(peerrpc.ServerConfig{
		Keeper:   h.Keeper,
		Gossip:   h.Membership,
		Tables:   h.Tables,
		Gate:     h.Gate,
		Key:      string(s.Peers.SharedKey),
		Counters: set,
	}))
	return srv, nil
}

// peersMaker returns the function that makes the clients of other hosts.
func peersMaker(s *settings.Settings, client *http.Client, set *counters.Set) func(host.Local) ports.Peers {
	return func(local host.Local) ports.Peers {
		return peerrpc.NewPeers(peerrpc.PeersConfig{
			Self: s.Host.ID,
			Local: peerrpc.Local{
				Keeper: local.Keeper,
				Gossip: local.Gossip,
				Tables: local.Tables,
				Gate:   local.Gate,
			},
			Membership: local.Membership,
			Key:        string(s.Peers.SharedKey),
			TLS:        s.Listen.Peers.TLS != nil,
			HTTP:       client,
			Counters:   set,
		})
	}
}

func serverTLS(t *settings.TLS) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s; check the files named under listen", t.Cert)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// PeerHTTPClient returns the client for the listeners for peers, or nil for plain
// connections. The error is that of the file named by peers.ca.
func PeerHTTPClient(s *settings.Settings) (*http.Client, error) {
	if s.Peers.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.Peers.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read the peers' certificate authority; check peers.ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate; check peers.ca", s.Peers.CA)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, nil
}
