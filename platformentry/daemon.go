package platformentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"greengagespoke/adapters/logging"
	"greengagespoke/adapters/peerrpc"
	"greengagespoke/catalog"
	"greengagespoke/counters"
	"greengagespoke/dispatch"
	"greengagespoke/domain"
	"greengagespoke/membership"
	"greengagespoke/platform/ingress"
	"greengagespoke/platform/registry"
	"greengagespoke/platform/settings"
	"greengagespoke/platform/store"
	"greengagespoke/platform/tcp"
	"greengagespoke/platform/upstream"
	"greengagespoke/stages"
	"greengagespoke/traffic"
)

const (
	// appName is the name under which the framework logs.
	appName = "greengagespoke"
	// unusedSignal keeps the framework from handling signals: the context given
	// to Run decides when the daemon stops.
	unusedSignal = syscall.SIGUSR2
	// peerKey signs messages between hosts. The platform gives hosts no secret, so
	// it only tells hosts of this system from other programs.
	peerKey = "greengagespoke hosts"
	// clockSkew is what the wall clocks of two hosts may differ by: the platform's
	// clocks jump, and liveness must not depend on them.
	clockSkew = 365 * 24 * time.Hour
	// stagesDuty is the name of the duty to change the roles of engines.
	stagesDuty = "engine-roles"
	// probePeriod is the time between two probes of a host. At 340 hosts it costs 3 KB
	// a second, all that control may take.
	probePeriod = 750 * time.Millisecond
	// peerIdle is how long an unused connection to another host is kept.
	peerIdle = 30 * time.Second
	// peerConns is the number of idle connections kept to one host.
	peerConns = 2
)

// Daemon is one entry host with its listeners.
type Daemon struct {
	settings *settings.Settings
	// drainLimit and answerLife are settings that may change while the host runs.
	drainLimit atomic.Int64
	answerLife atomic.Int64

	// What the host believes, and where from.
	catalog  *catalog.Catalog
	members  *membership.Membership
	hosts    *registry.Hosts
	source   *registry.Source
	registry *registry.Registry
	exchange *registry.ConfigPeers

	// What serves requests.
	gate      *dispatch.Gate
	budget    *dispatch.Budget
	upstreams *upstream.Client
	balancer  *stages.Balancer
	app       *kratos.App

	// leaving says that callers should go elsewhere, refusing that new requests are
	// refused.
	leaving         atomic.Bool
	refusing        atomic.Bool
	inFlight        atomic.Int64
	stopRegistering context.CancelFunc
}

// New returns a daemon for checked settings. Counters are shown on a port of the
// host; 0 shows none. Nothing listens before Run.
func New(s *settings.Settings, metricsPort int) *Daemon {
	logging.UseKlog()
	set := counters.NewSet()
	d := &Daemon{settings: s, catalog: catalog.New(), upstreams: upstream.New()}
	self := domain.Member{
		ID: s.Host, Zone: s.Zone, PeerAddress: s.Peers, CallerAddress: s.Callers, State: domain.MemberAlive,
	}
	d.budget = dispatch.NewBudget(d.hostCount)
	d.adopt(s)
	client := store.New(s.StoreAddress)
	d.hosts = registry.NewHosts(client, self)
	d.source = registry.NewSource(client, s.Host)
	d.registry = registry.New(d.source, d.catalog, d.hosts)
	d.exchange = registry.NewConfigPeers(d.catalog.Config, d.catalog)
	d.members = membership.New(membership.Config{
		Self: self, HostList: d.hosts, Counters: set, OnRevision: d.exchange.Heard, Period: probePeriod,
	})
	peers := d.peers(set)
	d.members.Bind(peers)
	d.exchange.Bind(peers)
	d.source.Bind(d.members.Members, peers.Relay)
	d.catalog.OnApply(d.members.SetRevision)
	loads := stages.NewLoads()
	d.gate = dispatch.NewGate(dispatch.Config{
		Zone: s.Zone, Catalog: d.catalog, Upstreams: d.upstreams, Counters: set, Leaving: d.refusing.Load,
		Budget: d.budget, Loads: loads,
	})
	d.balancer = stages.New(stages.Config{
		Self: s.Host, Services: d.modelServices, Members: d.members.Members, Loads: loads,
		Duty: registry.NewDuty(client, stagesDuty, s.Host, s.Lease), Engines: d.upstreams, Ready: d.ready,
	})
	d.app = kratos.New(
		kratos.ID(string(s.Host)), kratos.Name(appName), kratos.Server(d.listeners(set, metricsPort)...),
		kratos.Signal(unusedSignal), kratos.StopTimeout(serverStop),
	)
	return d
}

// peers returns the access to the other hosts.
func (d *Daemon) peers(set *counters.Set) *peerrpc.Peers {
	return peerrpc.NewPeers(peerrpc.PeersConfig{
		Self:       d.settings.Host,
		Local:      peerrpc.Local{Gossip: d.members, Tables: d.exchange},
		Membership: d.members,
		Key:        peerKey,
		Counters:   set,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return tcp.Dial(ctx, addr) },
			MaxIdleConnsPerHost: peerConns, IdleConnTimeout: peerIdle, DisableCompression: true,
		}},
	})
}

// hostCount returns the number of hosts that may be serving.
func (d *Daemon) hostCount() int {
	n := 0
	for _, m := range d.members.Members() {
		if m.State != domain.MemberDead {
			n++
		}
	}
	return n
}

// Run serves until ctx is done, then makes a planned stop. Where a listener
// fails, it returns the error at once.
func (d *Daemon) Run(ctx context.Context) error {
	klog.InfoS("host started", "host", d.settings.Host, "zone", d.settings.Zone, "callers", d.settings.Callers,
		"peers", d.settings.Peers, "store", d.settings.StoreAddress)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var all errgroup.Group
	all.Go(func() error {
		defer stopLoops()
		err := d.app.Run()
		if d.leaving.Load() && errors.Is(err, context.DeadlineExceeded) {
			// Connections that are still open after the drain are closed.
			return nil
		}
		return eris.Wrap(err, "a listener failed; check the addresses in the settings file")
	})
	all.Go(func() error { return d.registry.Run(loopCtx) })
	all.Go(func() error { return d.upstreams.Run(loopCtx) })
	all.Go(func() error { return d.members.Run(loopCtx) })
	if d.settings.Lease > 0 {
		all.Go(func() error { return d.balancer.Run(loopCtx) })
	}
	all.Go(func() error {
		d.followSettings(loopCtx)
		return nil
	})
	registerCtx, cancel := context.WithCancel(loopCtx)
	d.stopRegistering = cancel
	all.Go(func() error {
		d.hosts.Register(registerCtx, false)
		return nil
	})
	all.Go(func() error {
		select {
		case <-ctx.Done():
		case <-loopCtx.Done():
			return nil
		}
		d.leave(loopCtx)
		stopLoops()
		return d.stopListeners()
	})
	err := all.Wait()
	klog.InfoS("host stopped", "host", d.settings.Host, "err", err)
	klog.Flush()
	return err
}

// modelServices returns the services with model engines, with those that take work.
func (d *Daemon) modelServices() []stages.Service {
	config := d.catalog.Config()
	if config == nil {
		return nil
	}
	var out []stages.Service
	for name, s := range config.Services {
		if s.Engine != nil {
			out = append(out, stages.Service{Name: name, MemoryTokens: s.Engine.MemoryTokens, Engines: d.catalog.Ready(name)})
		}
	}
	return out
}

// ready reports whether the host takes new callers.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.catalog.Config() != nil }

// serve answers a caller's request.
func (d *Daemon) serve(r *http.Request, req *traffic.Request, caller traffic.Caller) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.gate.Serve(r.Context(), req, caller)
}

// addresses answers callers who ask where to connect.
func (d *Daemon) addresses(zone domain.Zone) ([]string, time.Duration) {
	return addressesFor(zone, d.members.Members()), min(answerMaxAge, time.Duration(d.answerLife.Load()))
}

// listeners returns the host's listeners.
func (d *Daemon) listeners(set *counters.Set, metricsPort int) []kratosServer {
	limits := func() (traffic.Limits, bool) {
		config := d.catalog.Config()
		if config == nil {
			return traffic.Limits{}, false
		}
		return config.Limits, true
	}
	peers := khttp.NewServer(khttp.Address(d.settings.Peers), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler {
			return peerrpc.NewServer(peerrpc.ServerConfig{
				Gossip: d.members, Tables: d.exchange, Relay: d.source.Mirror(),
				Key: peerKey, ClockSkew: clockSkew, Counters: set,
			})
		}))
	all := []kratosServer{
		ingress.NewCallers(ingress.CallersConfig{
			Address: d.settings.Callers, Serve: d.serve, Limits: limits, Leaving: d.leaving.Load,
		}),
		ingress.NewReady(d.settings.Ready, d.ready),
		ingress.NewDirectory(d.settings.Directory, d.addresses),
		peers,
	}
	if metricsPort == 0 {
		return all
	}
	address := net.JoinHostPort(d.settings.IP, strconv.Itoa(metricsPort))
	return append(all, metricsServer(address, set))
}
