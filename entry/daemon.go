// Package entry implements the daemon of one entry host: it creates the host from
// its settings and connects it to the network. Programs that embed an entry host
// use this package as their API.
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
	"greengagespoke/internal/httplimit"
	"greengagespoke/ports"
)

const (
	// appName is the application name that kratos logs.
	appName = "greengagespoke"
	// serverStopTimeout limits how long the listeners may take to close idle
	// connections after the drain.
	serverStopTimeout = 5 * time.Second
	// unusedSignal is the only signal that kratos handles. It replaces the default
	// signals, because the context passed to Run determines when the daemon stops.
	unusedSignal = syscall.SIGUSR2
)

// Daemon is one entry host with its listeners.
type Daemon struct {
	settings *settings.Settings
	host     *host.Host
	app      *kratos.App
}

// New returns a daemon for validated settings. The listeners are not opened until
// Run is called. The error is that of the platform client or of loading a
// certificate.
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
	counterSet := counters.NewSet()
	h := host.New(host.Config{
		Self:              selfMember(s),
		Store:             platform.Tables(),
		Objects:           platform.Objects(),
		HostList:          platform.Hosts(),
		Upstreams:         upstreams.New(),
		Clock:             ports.SystemClock{},
		Counters:          counterSet,
		MakePeers:         newPeersFactory(s, peerClient, counterSet),
		EntryPointsMaxAge: s.Timings.EntrypointsMaxAge.D(),
		DrainMargin:       s.Timings.DrainMargin.D(),
		TablePoll:         s.Timings.TablePoll.D(),
		HostListPoll:      s.Timings.HostListPoll.D(),

		StoreWritesPerSecond: s.Limits.StoreWritesPerSecond,
		StoreReadsPerSecond:  s.Limits.StoreReadsPerSecond,
	})
	d := &Daemon{settings: s, host: h}
	callerServer, err := newCallerServer(s, h, counterSet)
	if err != nil {
		return nil, err
	}
	peerServer, err := newPeerServer(s, h, counterSet)
	if err != nil {
		return nil, err
	}
	d.app = kratos.New(
		kratos.ID(string(s.Host.ID)),
		kratos.Name(appName),
		kratos.Server(callerServer, peerServer),
		kratos.Signal(unusedSignal),
		kratos.StopTimeout(serverStopTimeout),
	)
	return d, nil
}

// PlatformConfig returns the platform client's configuration from the settings:
// URLs, bucket, token and timeout.
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

func selfMember(s *settings.Settings) domain.Member {
	return domain.Member{
		ID:            s.Host.ID,
		Zone:          s.Host.AvailabilityZone,
		PeerAddress:   s.Listen.Peers.Advertise,
		CallerAddress: s.Listen.Callers.Advertise,
		State:         domain.MemberAlive,
	}
}

// Run serves until ctx is done, then drains: it returns after every request in
// flight has ended. If a listener fails, it returns the error without draining.
func (d *Daemon) Run(ctx context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var tasks errgroup.Group
	tasks.Go(func() error {
		defer stopLoops()
		return eris.Wrap(d.app.Run(), "a listener failed; check the addresses under listen")
	})
	tasks.Go(func() error { return d.host.Run(loopCtx) })
	tasks.Go(func() error {
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
	return tasks.Wait()
}

// Host returns the daemon's host, for programs that embed it.
func (d *Daemon) Host() *host.Host { return d.host }

// newCallerServer returns the HTTP server for callers.
func newCallerServer(s *settings.Settings, h *host.Host, counterSet *counters.Set) (*khttp.Server, error) {
	tlsConfig, err := serverTLS(s.Listen.Callers.TLS)
	if err != nil {
		return nil, err
	}
	return gatehttp.NewServer(gatehttp.Config{
		Address:     s.Listen.Callers.Address,
		TLS:         tlsConfig,
		Gate:        h.Gate,
		Auth:        newAuthenticator(s),
		EntryPoints: h.EntryPoints,
		Membership:  h.Membership,
		Tables:      h.Tables,
		Counters:    counterSet,
		Ready:       h.Tables.Ready,
		Unreadable:  h.Tables.Unreadable,
		Refusing:    h.Refusing,
		MaxBody:     s.Limits.MaxBodyBytes,
	}), nil
}

func newAuthenticator(s *settings.Settings) gatehttp.Authenticator {
	if s.Auth.Mode == settings.AuthNone {
		return gatehttp.NoAuth{}
	}
	keys := make([]gatehttp.TokenKey, len(s.Auth.Keys))
	for i, key := range s.Auth.Keys {
		keys[i] = gatehttp.TokenKey{ID: key.ID, Secret: []byte(key.Secret)}
	}
	return gatehttp.NewTokenAuth(keys, s.Auth.Issuer, s.Auth.Audience)
}

// newPeerServer returns the HTTP server for other entry hosts.
func newPeerServer(s *settings.Settings, h *host.Host, counterSet *counters.Set) (*khttp.Server, error) {
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
		Counters: counterSet,
	}))
	return srv, nil
}

// newPeersFactory returns the function that creates the clients for other entry hosts.
func newPeersFactory(s *settings.Settings, client *http.Client, counterSet *counters.Set) func(host.Local) ports.Peers {
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
			Counters:   counterSet,
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

// PeerHTTPClient returns the HTTP client for the peer listeners of other entry
// hosts, which trusts the certificate authority in the file named by peers.ca. It
// returns nil if peers.ca is not set, which means connections without TLS. The
// error is that of reading or parsing the file.
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
	transport := httplimit.Transport(http.DefaultTransport.(*http.Transport).Clone())
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, nil
}
