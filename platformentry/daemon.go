package platformentry

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
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
	"greengagespoke/internal/httplimit"
	"greengagespoke/internal/membudget"
	"greengagespoke/membership"
	"greengagespoke/origins"
	"greengagespoke/platform/ingress"
	"greengagespoke/platform/registry"
	"greengagespoke/platform/settings"
	"greengagespoke/platform/store"
	"greengagespoke/platform/tcp"
	"greengagespoke/platform/upstream"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
	"greengagespoke/quota"
	"greengagespoke/ratelimit"
	"greengagespoke/reach"
	"greengagespoke/rendezvous"
	"greengagespoke/stages"
	"greengagespoke/traffic"
)

const (
	// appName is the application name in the framework's log lines.
	appName = "greengagespoke"
	// unusedSignal replaces the signals that the framework handles by default, so that
	// the context given to Run decides when the daemon stops.
	unusedSignal = syscall.SIGUSR2
	// peerKey signs the messages between hosts. The platform provides no secret to
	// hosts, so the key only distinguishes hosts of this system from other programs.
	peerKey = "greengagespoke hosts"
	// maxClockSkew is the accepted difference between the wall clocks of two hosts. It
	// is this large because the platform's clocks jump, and liveness must not depend on
	// them.
	maxClockSkew = 365 * 24 * time.Hour
	// engineRolesDuty is the name of the duty whose holder changes the roles of engines.
	engineRolesDuty = "engine-roles"
	// membershipProbePeriod is the time between two membership probes of a host. At
	// 340 hosts this costs 3 KB a second, the entire limit for control traffic.
	membershipProbePeriod = 750 * time.Millisecond
	// strikeExchangeTime is the time in which the strikes of a crash reach all hosts that
	// are in touch with the store.
	strikeExchangeTime = 500 * time.Millisecond
	// requestCrashOccasions is the number of occasions on which upstreams must crash with a
	// request: callers do not identify themselves, so a fingerprint has those of all callers.
	requestCrashOccasions = 2
	// peerIdleTimeout is how long an idle connection to another host is kept open.
	peerIdleTimeout = 30 * time.Second
	// maxIdlePeerConns limits the idle connections that are kept open to each host.
	maxIdlePeerConns = 2
)

// Daemon runs one entry host: its listeners, its view of the system and the loops that
// keep this view up to date.
type Daemon struct {
	settings *settings.Settings
	network  tcp.Network
	// memory is the memory for requests and responses. ownsProcess says that no other daemon runs
	// in the process, so that the limits of its runtime are this one's.
	memory      *membudget.Budget
	ownsProcess bool
	// drainLimit and maxAddressListTTL are settings that may change while the host runs,
	// as a time.Duration.
	drainLimit        atomic.Int64
	maxAddressListTTL atomic.Int64

	// The host's view of the configuration, the upstreams and the other hosts, and the
	// sources of this view.
	catalog     *catalog.Catalog
	members     *membership.Membership
	hosts       *registry.Hosts
	storeSource *registry.Source
	registry    *registry.Registry
	configPeers *registry.ConfigPeers

	// Components that serve requests or direct engines.
	gate        *dispatch.Gate
	retryBudget *dispatch.Budget
	upstreams   *upstream.Client
	quarantine  *quarantine.List
	strikes     *registry.Strikes
	rateLimits  *ratelimit.Limits
	quotas      *quota.Quotas
	origins     *origins.Origins
	reach       *reach.Monitor
	peers       *peerrpc.Peers
	balancer    *stages.Balancer
	app         *kratos.App

	// leaving is set when callers should connect to other hosts, rejecting when the
	// host rejects new requests.
	leaving   atomic.Bool
	rejecting atomic.Bool
	// stopStarted is when the planned stop began, or nil.
	stopStarted      atomic.Pointer[time.Time]
	inFlight         atomic.Int64
	stopRegistration context.CancelFunc
}

// New returns a daemon for validated settings. The counters are served on metricsPort
// of the host's address; 0 disables this. Nothing listens before Run.
func New(s *settings.Settings, metricsPort int) *Daemon {
	d := NewOn(tcp.System, s, metricsPort)
	d.ownsProcess = true
	d.limitRuntime(s)
	return d
}

// NewOn returns a daemon as New does, whose connections and listeners are those of a network.
func NewOn(network tcp.Network, s *settings.Settings, metricsPort int) *Daemon {
	logging.UseKlog()
	counterSet, clock := counters.NewSet(), registry.NewClock()
	memory := membudget.New(s.MemoryBytes, counterSet)
	network = tcp.Buffered(tcp.Hedged(network), memory.SocketBuffer)
	d := &Daemon{settings: s, network: network, memory: memory, catalog: catalog.New(), upstreams: upstream.NewOn(network)}
	d.upstreams.Bound(memory)
	self := domain.Member{
		ID: s.Host, Zone: s.Zone, PeerAddress: s.Peers, CallerAddress: s.Callers, State: domain.MemberAlive,
	}
	d.retryBudget = dispatch.NewBudget(d.nonDeadHostCount)
	storeClient := store.NewOn(network, s.StoreAddress)
	d.hosts = registry.NewHosts(storeClient, self)
	d.storeSource = registry.NewSource(storeClient, s.Host)
	d.storeSource.OnRestored(d.hosts.Restored)
	d.registry = registry.New(d.storeSource, d.catalog, d.hosts)
	d.configPeers = registry.NewConfigPeers(d.catalog.Config, d.catalog)
	d.quarantine = quarantine.New(quarantine.Config{
		Counters: counterSet, DecisionDelay: strikeExchangeTime, RequestOccasions: requestCrashOccasions, OnObserved: func(s ports.Strike) { d.strikes.Observed(s) },
	})
	d.strikes = registry.NewStrikes(storeClient, d.storeSource, s.Host, d.quarantine, quarantine.DefaultStrikeTTL)
	d.members = membership.New(membership.Config{
		Self: self, HostList: d.hosts, Counters: counterSet, OnRevision: d.configPeers.OnPeerVersion, ProbePeriod: membershipProbePeriod,
		Strikes: d.quarantine, Clock: clock,
	})
	d.quotas = d.newQuotas(clock, counterSet)
	d.applySettings(s)
	d.hosts.Bind(d.confirmedHostCount, func() uint64 { return d.members.Self().Incarnation })
	d.rateLimits = ratelimit.New(ratelimit.Config{
		Self: s.Host, GrantingHost: func(process domain.UpstreamID) domain.HostID {
			return d.preferredHost(xxhash.Sum64String(string(process)))
		},
		Peer: func(host domain.HostID) ports.RatePeer { return d.peers.Rates(host) }, Counters: counterSet,
	})
	d.origins = origins.New(origins.Config{
		Self: s.Host, Members: d.members.Members, Counters: counterSet,
		Peer: func(host domain.HostID) ports.OriginPeer { return d.peers.Origins(host) },
	})
	d.reach = reach.New(reach.Config{
		Self: s.Host, Services: d.services, Ready: d.catalog.Ready, Listening: d.upstreams.Listening, Members: d.members.Members,
		Peer: func(host domain.HostID) ports.ReachPeer { return d.peers.Reach(host) }, Counters: counterSet,
	})
	d.peers = d.newPeers(counterSet)
	peers := d.peers
	d.members.Bind(peers)
	d.configPeers.Bind(peers)
	d.storeSource.Bind(d.members.Members, peers.Relay)
	d.catalog.OnApply(d.members.SetRevision)
	loads := stages.NewLoads()
	d.upstreams.Listen(upstream.Listener{
		RateLimit: d.rateLimits.Observe, Leaving: d.catalog.Announced, LeavingElsewhere: d.catalog.AnnouncedProcess,
		Rest: d.rateLimits.Rest,
	})
	d.gate = dispatch.NewGate(dispatch.Config{
		Zone: s.Zone, Catalog: d.catalog, Upstreams: d.upstreams, Counters: counterSet, Rejecting: d.rejecting.Load, Stopping: d.stopping,
		Budget: d.retryBudget, Loads: loads, Quarantine: d.quarantine, Decides: d.decides,
		RateLimits: d.rateLimits, Quotas: d.quotas, Origins: d.origins, Reach: d.reach,
		Hops: upstream.Hops{Client: d.upstreams, Address: d.peerAddress},
	})
	d.balancer = stages.New(stages.Config{
		Self: s.Host, Services: d.modelServices, Members: d.members.Members, Loads: loads,
		Duty: registry.NewDuty(storeClient, engineRolesDuty, s.Host, s.OrderLease), Engines: awakeEngines{d.upstreams, d.rateLimits}, Ready: d.mayDirectEngines,
	})
	d.app = kratos.New(
		kratos.ID(string(s.Host)), kratos.Name(appName), kratos.Server(d.newListeners(counterSet, metricsPort)...),
		kratos.Signal(unusedSignal), kratos.StopTimeout(serverStopTimeout),
	)
	return d
}

// newPeers returns the clients for calls to the other hosts.
func (d *Daemon) newPeers(counterSet *counters.Set) *peerrpc.Peers {
	return peerrpc.NewPeers(peerrpc.PeersConfig{
		Self:       d.settings.Host,
		Local:      peerrpc.Local{Gossip: d.members, Tables: d.configPeers},
		Membership: d.members,
		Key:        peerKey,
		Counters:   counterSet,
		HTTP: &http.Client{Transport: httplimit.Transport(&http.Transport{
			DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return d.network.Dial(ctx, addr) },
			MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		})},
	})
}

// decides reports whether this host is the one of all alive hosts that decides on a
// fingerprint.
func (d *Daemon) decides(fingerprint uint64) bool {
	return d.preferredHost(fingerprint) == d.settings.Host
}

// preferredHost returns the host of all alive ones that hosts with the same view of the
// members agree on for a key.
func (d *Daemon) preferredHost(key uint64) domain.HostID {
	return rendezvous.Best(d.settings.Host, d.members.Members(), key)
}

// nonDeadHostCount returns the number of hosts that may be serving, which includes
// suspect and leaving hosts.
func (d *Daemon) nonDeadHostCount() int {
	n := 0
	for _, m := range d.members.Members() {
		if m.State != domain.MemberDead {
			n++
		}
	}
	return n
}

// confirmedHostCount returns the number of other hosts that answered lately, themselves or to others.
func (d *Daemon) confirmedHostCount() int {
	n := 0
	for _, m := range d.members.Members() {
		if m.ID != d.settings.Host && m.State == domain.MemberAlive && m.Incarnation > 0 {
			n++
		}
	}
	return n
}

// Run serves until ctx is done, then shuts down gracefully. If a listener fails, it
// returns the error without draining.
func (d *Daemon) Run(ctx context.Context) error {
	klog.InfoS("host started", "host", d.settings.Host, "zone", d.settings.Zone, "callers", d.settings.Callers,
		"peers", d.settings.Peers, "store", d.settings.StoreAddress)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var group errgroup.Group
	group.Go(func() error {
		defer stopLoops()
		err := d.app.Run()
		if d.leaving.Load() && errors.Is(err, context.DeadlineExceeded) {
			// Closing the connections that are still open after the drain is not an error.
			return nil
		}
		return eris.Wrap(err, "a listener failed; check the addresses in the settings file")
	})
	group.Go(func() error { return d.registry.Run(loopCtx) })
	group.Go(func() error { return d.strikes.Run(loopCtx) })
	group.Go(func() error { return d.rateLimits.Run(loopCtx) })
	group.Go(func() error { return d.quotas.Run(loopCtx) })
	group.Go(func() error { return d.origins.Run(loopCtx) })
	group.Go(func() error { return d.reach.Run(loopCtx) })
	group.Go(func() error { return d.upstreams.Run(loopCtx) })
	group.Go(func() error { return d.members.Run(loopCtx) })
	if d.settings.OrderLease > 0 {
		group.Go(func() error { return d.balancer.Run(loopCtx) })
	}
	group.Go(func() error {
		d.watchSettings(loopCtx)
		return nil
	})
	registerCtx, cancelRegistration := context.WithCancel(loopCtx)
	d.stopRegistration = cancelRegistration
	group.Go(func() error {
		d.hosts.Register(registerCtx, false)
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-loopCtx.Done():
			return nil
		}
		d.drain(loopCtx)
		stopLoops()
		return d.stopListeners()
	})
	err := group.Wait()
	klog.InfoS("host stopped", "host", d.settings.Host, "err", err)
	klog.Flush()
	return err
}

// services returns the names of all services.
func (d *Daemon) services() []traffic.ServiceName {
	config := d.catalog.Config()
	if config == nil {
		return nil
	}
	return slices.Collect(maps.Keys(config.Services))
}

// peerAddress returns the address at which another host listens for hosts, or "" if it is not
// known.
func (d *Daemon) peerAddress(host domain.HostID) string {
	for _, m := range d.members.Members() {
		if m.ID == host {
			return m.PeerAddress
		}
	}
	return ""
}

// modelServices returns the services that have model engines, each with its engines
// that accept work.
func (d *Daemon) modelServices() []stages.Service {
	config := d.catalog.Config()
	if config == nil {
		return nil
	}
	var services []stages.Service
	for name, s := range config.Services {
		if s.Engine != nil {
			services = append(services, stages.Service{Name: name, MemoryTokens: s.Engine.MemoryTokens, Engines: d.catalog.Ready(name)})
		}
	}
	return services
}

// ready reports whether the host accepts new callers.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.catalog.Config() != nil }

// mayDirectEngines reports whether the host may send orders to engines. An order over a link that
// hangs may be carried out later.
func (d *Daemon) mayDirectEngines() bool {
	return d.ready() && !slices.ContainsFunc(d.modelServices(), func(s stages.Service) bool { return d.reach.Lost(s.Name) })
}

// serve handles a caller's request and counts it as in flight.
func (d *Daemon) serve(r *http.Request, req *traffic.Request, caller traffic.Caller) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.gate.Serve(r.Context(), req, caller)
}

// resolveAddresses returns the addresses that a caller in a zone should connect to and
// how long it may keep them.
func (d *Daemon) resolveAddresses(zone domain.Zone) ([]string, time.Duration) {
	return addressesFor(zone, d.members.Members()), min(addressListTTL, time.Duration(d.maxAddressListTTL.Load()))
}

// newListeners returns the host's listeners, including one for metrics and the status unless
// metricsPort is 0.
func (d *Daemon) newListeners(counterSet *counters.Set, metricsPort int) []kratosServer {
	limits := func() (traffic.Limits, bool) {
		config := d.catalog.Config()
		if config == nil {
			return traffic.Limits{}, false
		}
		return config.Limits, true
	}
	callers := ingress.CallersConfig{
		Address: d.settings.Callers, Serve: d.serve, Authenticate: d.gate.Authenticate, Limits: limits, Leaving: d.leaving.Load,
		Memory: d.memory, Urgency: d.urgency,
	}
	peers := khttp.NewServer(khttp.Address(d.settings.Peers), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler {
			return ingress.NewHops(callers, peerrpc.NewServer(peerrpc.ServerConfig{
				Gossip: d.members, Tables: d.configPeers, Relay: d.storeSource.Mirror(), Rates: d.rateLimits, Origins: d.origins,
				Reach: d.reach, Quotas: d.quotas,
				Key: peerKey, ClockSkew: maxClockSkew, Counters: counterSet, Memory: d.memory,
			}))
		}))
	listeners := []kratosServer{
		d.listener(d.settings.Callers, ingress.NewCallers(callers)),
		d.listener(d.settings.Ready, ingress.NewReady(d.settings.Ready, d.ready)),
		d.listener(d.settings.Directory, ingress.NewDirectory(d.settings.Directory, d.resolveAddresses)),
		d.listener(d.settings.Peers, peers),
	}
	if metricsPort == 0 {
		return listeners
	}
	address := net.JoinHostPort(d.settings.IP, strconv.Itoa(metricsPort))
	pages := map[string]http.HandlerFunc{PathStatus: d.serveStatus, PathExplain: d.serveExplain}
	return append(listeners, d.listener(address, newMetricsServer(address, counterSet, pages)))
}
