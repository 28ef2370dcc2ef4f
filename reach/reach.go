// Package reach finds out whether this host has lost its links to the upstreams of a service
// while other hosts reach them.
//
// Any byte that an upstream sends shows that it is reached. If none came for a while, or if
// connections to several upstreams could not be opened, the host opens connections to some of
// them, without a request. If that fails too, it asks other hosts whether they reach the
// service. Those that do can take its requests; if none does, the upstreams are gone for all.
package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/baton"
	"greengagespoke/internal/pause"
	"greengagespoke/internal/shard"
	"greengagespoke/ports"
	"greengagespoke/rendezvous"
	"greengagespoke/traffic"
)

const (
	// checkInterval is the time between two checks whether upstreams must be tried.
	checkInterval = 150 * time.Millisecond
	// quietTime is the time without a sign of an upstream after which some are tried.
	quietTime = 900 * time.Millisecond
	// minFailures is the number of connections in a row that could not be opened, or calls
	// without an answer, after which upstreams of the service are tried at once.
	minFailures = 2
	// triedAtOnce bounds the upstreams of one try. A service is taken for lost after
	// triesToLose tries without success, which an upstream that is silent for a second does
	// not cause.
	triedAtOnce = 4
	triesToLose = 3
	// tryTimeout bounds one try, lostInterval is the time between two tries of a lost service.
	tryTimeout   = 300 * time.Millisecond
	lostInterval = 500 * time.Millisecond
	// reachedTTL is how long after its last sign of an upstream a host counts as one that
	// reaches the service.
	reachedTTL = 1200 * time.Millisecond
	// hostsAsked bounds the hosts that are asked for help at once, maxAskRounds how often others
	// are asked until one can help, and helpTimeout all of that. witnesses is the number of hosts
	// that are asked whether an upstream has ended. askTimeout bounds a round.
	hostsAsked   = 8
	maxAskRounds = 8
	helpTimeout  = 500 * time.Millisecond
	witnesses    = 3
	askTimeout   = 250 * time.Millisecond
	// helpersTTL is how long the hosts that reach a service are remembered.
	helpersTTL = 600 * time.Millisecond
)

var (
	defTries   = counters.Define("reach_tries", "rounds in which connections to upstreams were opened to find out whether any is reached")
	defLost    = counters.Define("reach_lost", "services of which this host reached no upstream any more")
	defRegains = counters.Define("reach_regained", "services of which this host reached an upstream again")
	defAsked   = counters.Define("reach_asked", "rounds in which other hosts were asked whether they reach a service")
)

// Config holds the dependencies of Monitor.
type Config struct {
	Self domain.HostID
	// Services returns the services of the configuration in force.
	Services func() []traffic.ServiceName
	// Ready returns the upstreams of a service that take requests.
	Ready func(traffic.ServiceName) []*traffic.Upstream
	// Listening reports whether a process accepts connections at an upstream's address.
	Listening func(ctx context.Context, up *traffic.Upstream) (bool, error)
	// Members returns the hosts as this one sees them.
	Members func() []domain.Member
	// Peer returns a client for another host.
	Peer     func(host domain.HostID) ports.ReachPeer
	Counters *counters.Set
}

// Monitor keeps which services this host reaches. It implements ports.ReachPeer. It is safe for
// concurrent use.
type Monitor struct {
	cfg      Config
	services *shard.Map[traffic.ServiceName, *service]
	// wake is signalled when a service may be lost.
	wake chan struct{}
}

// service is what is known of one service.
type service struct {
	mu sync.Mutex
	// reachedAt is when an upstream last gave a sign.
	reachedAt time.Time
	// failures counts failures since.
	failures int
	trying   bool
	lost     bool
	nextTry  time.Time
	// helpers are the hosts that reached the service at helpersAt. asking is held while they
	// are asked.
	asking    baton.Baton
	helpers   []domain.HostID
	helpersAt time.Time
}

// New returns a Monitor that takes all services for reached.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, services: shard.NewMap[traffic.ServiceName, *service](), wake: make(chan struct{}, 1)}
}

func (m *Monitor) service(name traffic.ServiceName) *service {
	var found *service
	m.services.Update(name, func(s *service, ok bool) (*service, bool) {
		if !ok {
			s = &service{reachedAt: time.Now()}
		}
		found = s
		return s, true
	})
	return found
}

// Reached records a sign of an upstream: it sent something, or accepted a connection.
func (m *Monitor) Reached(name traffic.ServiceName) {
	s := m.service(name)
	s.mu.Lock()
	regained := s.lost
	s.reachedAt, s.failures, s.lost = time.Now(), 0, false
	s.mu.Unlock()
	if regained {
		m.cfg.Counters.Int(defRegains).Add(1)
		klog.InfoS("service reached again", "service", name)
	}
}

// Failed records that a connection to an upstream could not be opened, or that a call got no
// answer in its time.
func (m *Monitor) Failed(name traffic.ServiceName) {
	s := m.service(name)
	s.mu.Lock()
	s.failures++
	wake := s.failures >= minFailures
	s.mu.Unlock()
	if wake {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// Lost reports whether this host reaches no upstream of a service.
func (m *Monitor) Lost(name traffic.ServiceName) bool {
	s := m.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// reachedLately reports whether this host reached the service a short time ago.
func (m *Monitor) reachedLately(name traffic.ServiceName) bool {
	s := m.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && time.Since(s.reachedAt) < reachedTTL
}

// Run tries upstreams that gave no sign, until the context ends. It always returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var trying sync.WaitGroup
	defer trying.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-ticker.C:
		}
		for _, name := range m.due() {
			trying.Go(func() { m.try(ctx, name) })
		}
	}
}

// due returns the services whose upstreams must be tried now, and marks them as being tried. A
// service without failures is only tried if no upstream of any service gave a sign, so that
// many idle services cost no more than one.
func (m *Monitor) due() []traffic.ServiceName {
	names := m.cfg.Services()
	now := time.Now()
	quiet := true
	for _, name := range names {
		s := m.service(name)
		s.mu.Lock()
		quiet = quiet && now.Sub(s.reachedAt) > quietTime
		s.mu.Unlock()
	}
	idle := len(names) > 0
	var due []traffic.ServiceName
	for _, i := range rand.Perm(len(names)) {
		s := m.service(names[i])
		s.mu.Lock()
		suspicious := s.lost || s.failures >= minFailures
		if !s.trying && now.After(s.nextTry) && (suspicious || quiet && idle) {
			s.trying = true
			due = append(due, names[i])
		}
		idle = idle && suspicious
		s.mu.Unlock()
	}
	return due
}

// try opens connections to some upstreams of a service, and asks other hosts if none is
// reached.
func (m *Monitor) try(ctx context.Context, name traffic.ServiceName) {
	s := m.service(name)
	defer func() {
		s.mu.Lock()
		s.trying = false
		s.mu.Unlock()
	}()
	ups := slices.Clone(m.cfg.Ready(name))
	if len(ups) == 0 {
		return
	}
	began := time.Now()
	for range triesToLose {
		if m.tryOnce(ctx, ups) {
			m.Reached(name)
			return
		}
		s.mu.Lock()
		reached, lost := s.reachedAt.After(began), s.lost
		s.mu.Unlock()
		if reached || ctx.Err() != nil {
			return
		}
		if lost {
			break
		}
		pause.For(ctx, time.Until(began.Add(tryTimeout)))
	}
	s.mu.Lock()
	first := !s.lost
	s.lost, s.nextTry = true, time.Now().Add(lostInterval)
	s.mu.Unlock()
	if first {
		m.cfg.Counters.Int(defLost).Add(1)
		klog.InfoS("no upstream of a service is reached", "service", name, "upstreams", len(ups))
	}
	m.Helpers(ctx, name)
}

// tryOnce opens connections to some upstreams at random and reports whether one is reached.
func (m *Monitor) tryOnce(ctx context.Context, ups []*traffic.Upstream) bool {
	m.cfg.Counters.Int(defTries).Add(1)
	rand.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
	return m.anyListening(ctx, ups[:min(triedAtOnce, len(ups))])
}

// anyListening reports whether one of some upstreams accepts a connection.
func (m *Monitor) anyListening(ctx context.Context, ups []*traffic.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	results := make(chan bool, len(ups))
	for _, up := range ups {
		go func() {
			listening, err := m.cfg.Listening(ctx, up)
			results <- err == nil && listening
		}()
	}
	for range ups {
		if <-results {
			return true
		}
	}
	return false
}

// Helpers returns hosts that reach a service, in random order. It may ask them, and blocks for
// a bounded time.
func (m *Monitor) Helpers(ctx context.Context, name traffic.ServiceName) []domain.HostID {
	s := m.service(name)
	s.asking.Take()
	defer s.asking.Give()
	s.mu.Lock()
	helpers, at := s.helpers, s.helpersAt
	s.mu.Unlock()
	if time.Since(at) > helpersTTL {
		helpers = m.askForHelp(context.WithoutCancel(ctx), name, helpers)
		s.mu.Lock()
		s.helpers, s.helpersAt = helpers, time.Now()
		s.mu.Unlock()
	}
	helpers = slices.Clone(helpers)
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers
}

// askForHelp returns hosts that reach a service. It asks a few at a time, those that did before
// first, until one does: if most hosts are cut, few can help.
func (m *Monitor) askForHelp(ctx context.Context, name traffic.ServiceName, before []domain.HostID) []domain.HostID {
	ctx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	hosts := slices.Clone(before)
	for _, host := range m.otherHosts() {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	query := ports.ReachQuery{Service: string(name)}
	for range maxAskRounds {
		n := min(hostsAsked, len(hosts))
		if helpers := m.ask(ctx, query, hosts[:n], func(r ports.ReachReply) bool { return r.Reached }); len(helpers) > 0 {
			return helpers
		}
		hosts = hosts[n:]
	}
	return nil
}

// otherHosts returns the other hosts at random, those of all availability zones in turn.
func (m *Monitor) otherHosts() []domain.HostID {
	return slices.DeleteFunc(rendezvous.Spread(m.cfg.Members(), rand.Uint64()), func(h domain.HostID) bool { return h == m.cfg.Self })
}

// ask asks some hosts and returns those whose reply is accepted.
func (m *Monitor) ask(ctx context.Context, query ports.ReachQuery, hosts []domain.HostID, accept func(ports.ReachReply) bool) []domain.HostID {
	if len(hosts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m.cfg.Counters.Int(defAsked).Add(1)
	accepted := make(chan domain.HostID, len(hosts))
	var asking sync.WaitGroup
	for _, host := range hosts {
		asking.Go(func() {
			reply, err := m.cfg.Peer(host).Reach(ctx, query)
			if err != nil {
				klog.V(1).InfoS("host not asked what it reaches", "host", host, "err", err)
				return
			}
			if accept(reply) {
				accepted <- host
			}
		})
	}
	asking.Wait()
	close(accepted)
	var found []domain.HostID
	for host := range accepted {
		found = append(found, host)
	}
	return found
}

// Reach implements ports.ReachPeer.
func (m *Monitor) Reach(ctx context.Context, query ports.ReachQuery) (ports.ReachReply, error) {
	name := traffic.ServiceName(query.Service)
	reached := func() bool { return m.reachedLately(name) }
	if query.Upstream != "" {
		// It may be the only one of its service.
		reached = func() bool { return slices.ContainsFunc(m.cfg.Services(), m.reachedLately) }
	}
	reply := ports.ReachReply{Reached: reached()}
	if !reply.Reached && !m.Lost(name) {
		// Nothing was sent lately.
		m.tryNow(ctx, name)
		reply.Reached = reached()
	}
	if query.Upstream == "" {
		return reply, nil
	}
	for _, up := range m.cfg.Ready(name) {
		if up.ID == query.Upstream {
			listening, err := m.cfg.Listening(ctx, up)
			reply.Tried, reply.Listening = err == nil, listening
		}
	}
	return reply, nil
}

// tryNow tries the upstreams of a service unless they are being tried.
func (m *Monitor) tryNow(ctx context.Context, name traffic.ServiceName) {
	s := m.service(name)
	s.mu.Lock()
	trying := s.trying
	s.trying = true
	s.mu.Unlock()
	if trying {
		pause.For(ctx, checkInterval)
		return
	}
	if m.tryOnce(ctx, slices.Clone(m.cfg.Ready(name))) {
		m.Reached(name)
	}
	s.mu.Lock()
	s.trying = false
	s.mu.Unlock()
}

// Ended reports whether an upstream that refuses connections of this host has ended. A link that
// resets connections looks the same to this host alone, so others are asked. If none answers, the
// links of this host must be sound: another upstream accepts a connection.
func (m *Monitor) Ended(ctx context.Context, up *traffic.Upstream) bool {
	ctx = context.WithoutCancel(ctx)
	hosts := m.otherHosts()
	if len(hosts) == 0 {
		return true
	}
	var mu sync.Mutex
	refused, listens := false, false
	query := ports.ReachQuery{Service: string(up.Service), Upstream: up.ID}
	m.ask(ctx, query, hosts[:min(witnesses, len(hosts))], func(r ports.ReachReply) bool {
		mu.Lock()
		defer mu.Unlock()
		listens = listens || r.Tried && r.Listening
		refused = refused || r.Tried && !r.Listening && r.Reached
		return false
	})
	if refused || listens {
		return !listens
	}
	return m.anyListening(ctx, m.otherUpstreams(up))
}

// otherUpstreams returns a few upstreams of all services at random, without one.
func (m *Monitor) otherUpstreams(without *traffic.Upstream) []*traffic.Upstream {
	var ups []*traffic.Upstream
	for _, name := range m.cfg.Services() {
		ups = append(ups, m.cfg.Ready(name)...)
	}
	ups = slices.DeleteFunc(ups, func(up *traffic.Upstream) bool { return up.ID == without.ID })
	rand.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
	return ups[:min(triedAtOnce, len(ups))]
}
