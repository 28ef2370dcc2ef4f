package replay

import (
	"context"
	"errors"
	"sync"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/simnet"
	"greengagespoke/keeper"
	"greengagespoke/ports"
	"greengagespoke/routing"
)

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
	for _, h := range env.Hosts {
		f.hosts[h.ID] = g.startHost(env, h)
	}
	return f
}

func (g Gates) startHost(env *Env, h Host) *gateHost {
	set := counters.NewSet()
	upstreams := env.Upstreams(h)
	peers := env.Network.Peers(h.ID, h.Zone)
	view := env.Members.View(h.ID)
	host := &gateHost{counters: set}
	host.keeper = keeper.New(keeper.Config{
		Self: h.ID, Zone: h.Zone, Tables: env.Tables, Membership: view, Upstreams: upstreams,
		Counters: set, Policy: g.Keeper, GatePeers: peers,
	})
	host.gate = routing.New(routing.Config{
		Tables: env.Tables, Membership: view, Peers: peers, Upstreams: upstreams,
		Quarantine: noQuarantine{}, Claims: noClaims{}, Leaving: noLeaving{}, Counters: set,
	})
	env.Network.Attach(h.ID, h.Zone, simnet.Handlers{Keeper: host.keeper, Gate: host.gate})
	host.start()
	return host
}

// gateHost is the gate and the keeper of one host.
type gateHost struct {
	gate     *routing.Gate
	keeper   *keeper.Keeper
	counters *counters.Set
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

func (h *gateHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.loops.Go(func() { _ = h.keeper.Run(ctx) })
	h.loops.Go(func() { _ = h.gate.Run(ctx) })
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

// Leaving implements routing.Leaving.
func (noLeaving) Leaving(domain.UpstreamID) bool { return false }

// noQuarantine lets every request run.
type noQuarantine struct{}

// Check implements routing.Quarantine.
func (noQuarantine) Check(uint64) *domain.Refusal { return nil }

// Suspect implements routing.Quarantine.
func (noQuarantine) Suspect(uint64) bool { return false }

// Crashed implements routing.Quarantine.
func (noQuarantine) Crashed(domain.UpstreamID, []uint64) {}

// Finished implements routing.Quarantine.
func (noQuarantine) Finished(uint64) {}
