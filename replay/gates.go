package replay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/internal/simnet"
	"greengagespoke/keeper"
	"greengagespoke/membership"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
	"greengagespoke/routing"
)

// loopOffset separates the beginnings of two loops.
const loopOffset = 137 * time.Microsecond

// Gates is the real policy: a gate and a keeper on each host.
type Gates struct {
	// Label names the variant; empty means "greengagespoke".
	Label string
	// Keeper decides when places are promised; nil means the keeper's default.
	Keeper keeper.Policy
}

// Name implements Policy.
func (g Gates) Name() string {
	if g.Label != "" {
		return g.Label
	}
	return "greengagespoke"
}

// Start implements Policy.
func (g Gates) Start(env *Env) Fleet {
	f := &gateFleet{hosts: make(map[domain.HostID]*gateHost, len(env.Hosts))}
	for n, h := range env.Hosts {
		f.hosts[h.ID] = g.startHost(env, h, n)
	}
	return f
}

func (g Gates) startHost(env *Env, h Host, n int) *gateHost {
	set := counters.NewSet()
	upstreams := env.Upstreams(h)
	peers := env.Network.Peers(h.ID, h.Zone)
	strikes := quarantine.New(quarantine.Config{Counters: set})
	host := &gateHost{counters: set}
	host.members = membership.New(membership.Config{
		Self:     domain.Member{ID: h.ID, Zone: h.Zone, PeerAddress: string(h.ID), CallerAddress: string(h.ID)},
		HostList: env.HostList, Counters: set, Seed: env.Trace.Seed, Strikes: strikes,
	})
	host.members.Bind(peers)
	host.keeper = keeper.New(keeper.Config{
		Self: h.ID, Zone: h.Zone, Tables: env.Tables, Membership: host.members, Upstreams: upstreams,
		Counters: set, Policy: g.Keeper, GatePeers: peers, Quarantine: strikes,
	})
	host.gate = routing.New(routing.Config{
		Tables: env.Tables, Membership: host.members, Peers: peers, Upstreams: upstreams,
		Quarantine: strikes, Claims: noClaims{}, Leaving: noLeaving{}, Counters: set,
		Rand: seededRand(env.Trace.Seed, h),
	})
	env.Network.Attach(h.ID, h.Zone, simnet.Handlers{Keeper: host.keeper, Gate: host.gate, Gossip: host.members})
	host.start(n)
	return host
}

// seededRand returns a random source of a host that repeats.
func seededRand(seed uint64, h Host) func(n int64) int64 {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(h.ID))))
	return func(n int64) int64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Int64N(n)
	}
}

// gateHost is the gate and the keeper of one host.
type gateHost struct {
	gate     *routing.Gate
	keeper   *keeper.Keeper
	members  *membership.Membership
	counters *counters.Set
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// start runs the loops of host number n. They begin at different times, so that
// their timers never fire at one instant.
func (h *gateHost) start(n int) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	loops := []func(context.Context) error{h.members.Run, h.keeper.Run, h.gate.Run}
	for i, run := range loops {
		offset := time.Duration(n*len(loops)+i) * loopOffset
		h.loops.Go(func() {
			if pause.For(ctx, offset) {
				_ = run(ctx)
			}
		})
	}
}

func (h *gateHost) stop() {
	h.cancel()
	h.gate.Close()
	h.loops.Wait()
	_ = h.gate.Drain(context.Background())
}

// gateFleet is the real policy on all hosts.
type gateFleet struct {
	hosts map[domain.HostID]*gateHost
}

// Complete implements Fleet.
func (f *gateFleet) Complete(ctx context.Context, host domain.HostID, c *domain.Completion, deliver func(domain.Frame) error) error {
	return f.hosts[host].gate.Complete(ctx, c, deliver)
}

// KillHost implements Fleet.
func (f *gateFleet) KillHost(host domain.HostID) { f.hosts[host].cancel() }

// Counters returns the sums of the hosts' own counters. They explain a result, but
// no measure is taken from them.
func (f *gateFleet) Counters() map[string]int64 {
	sums := make(map[string]int64)
	for _, def := range counters.Catalogue() {
		for _, h := range f.hosts {
			if n := h.counters.Int(def).Value(); n != 0 {
				sums[def.Name] += n
			}
		}
	}
	return sums
}

// Stop implements Fleet.
func (f *gateFleet) Stop() {
	for _, h := range f.hosts {
		h.stop()
	}
}

// noClaims stands for the claims of non-idempotent calls, which traces have none of.
type noClaims struct{}

var errNoClaims = errors.New("traces hold no service calls")

// Execute implements routing.Claims.
func (noClaims) Execute(context.Context, claims.Call, claims.Sender) (ports.ServiceResponse, error) {
	return ports.ServiceResponse{}, errNoClaims
}

// noLeaving says that no upstream is about to stop.
type noLeaving struct{}

// Leaving implements routing.LeavingUpstreams.
func (noLeaving) Leaving(domain.UpstreamID) bool { return false }
