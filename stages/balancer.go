package stages

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/traffic"
)

const (
	// checkGap is the time between two looks at the balance.
	checkGap = time.Second
	// confirmChecks is the number of checks in a row that must find roles out of
	// balance: engines that restart are missing for a few seconds.
	confirmChecks = 3
	// scarceChecks is the same where prefill engines are scarce: those that crashed
	// are back sooner than others could take their place.
	scarceChecks = 8
	// settleTime is the time after a term until the next look: engines take 6 s to
	// change, and the store must show it.
	settleTime = 10 * time.Second
	// retryGap is the time to the next try after a term could not be had.
	retryGap = 3 * time.Second
	// mostOrders bounds the orders of a term.
	mostOrders = 12
	// orderTimeout bounds the two calls to one engine, several times what they
	// usually take.
	orderTimeout = 600 * time.Millisecond
	// leastHosts is the number of hosts with a confirmed state, in a fleet of more
	// than one, from which on a host trusts its view of who has the duty.
	leastHosts = 2
)

// Service is a model service with its engines that take work.
type Service struct {
	Name         traffic.ServiceName
	MemoryTokens int
	Engines      []*traffic.Upstream
}

// Config holds what a balancer works with.
type Config struct {
	Self domain.HostID
	// Services returns the model services, Members the view of the hosts.
	Services func() []Service
	Members  func() []domain.Member
	Loads    *Loads
	Duty     traffic.Duty
	Engines  traffic.EngineControl
	// Ready reports whether this host may take the duty.
	Ready func() bool
}

// Balancer keeps the roles of engines in balance. Only the host that all hosts name
// alike tries to take the duty, so that others make no calls for it.
type Balancer struct {
	cfg Config
	// off counts the checks in a row that found roles out of balance.
	off int
}

// New returns a balancer.
func New(cfg Config) *Balancer { return &Balancer{cfg: cfg} }

// Run looks at the balance until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	gap := checkGap
	for pause.For(ctx, gap) {
		gap = b.check(ctx)
	}
	return nil
}

// check looks at the balance once and returns the time to the next look.
func (b *Balancer) check(ctx context.Context) time.Duration {
	if !b.cfg.Ready() || !chosen(b.cfg.Self, b.cfg.Members()) {
		b.off = 0
		return checkGap
	}
	changes := b.plan()
	if len(changes) == 0 {
		b.off = 0
		return checkGap
	}
	if b.off++; b.off < checksFor(changes) {
		return checkGap
	}
	b.off = 0
	term, err := b.cfg.Duty.Take(ctx)
	if err != nil {
		if !errors.Is(err, traffic.ErrTermHeld) {
			klog.InfoS("no term to change engines", "host", b.cfg.Self, "err", err)
		}
		return retryGap
	}
	klog.InfoS("term to change engines", "host", b.cfg.Self, "fence", term.Fence, "changes", len(changes))
	b.carryOut(ctx, term, changes)
	return settleTime
}

// checksFor returns the number of checks that must agree on changes.
func checksFor(changes []Change) int {
	for _, c := range changes {
		if c.Role == domain.RolePrefill {
			return scarceChecks
		}
	}
	return confirmChecks
}

// plan returns the changes of all services, at most as many as a term may have.
func (b *Balancer) plan() []Change {
	var all []Change
	for _, s := range b.cfg.Services() {
		all = append(all, Plan(s.Engines, s.MemoryTokens, b.cfg.Loads.Of(s.Name))...)
	}
	return all[:min(len(all), mostOrders)]
}

// carryOut orders all changes at once, each to its own engine.
func (b *Balancer) carryOut(ctx context.Context, term traffic.Term, changes []Change) {
	var all sync.WaitGroup
	for _, c := range changes {
		all.Go(func() { b.order(ctx, term, c) })
	}
	all.Wait()
}

// order has one engine change its role if it still needs to. An order without an
// answer is not sent again: it may be carried out later.
func (b *Balancer) order(ctx context.Context, term traffic.Term, c Change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := b.cfg.Engines.Report(ctx, c.Engine)
	if err != nil || report.Busy || report.Role == c.Role {
		klog.InfoS("engine not ordered", "engine", c.Engine.ID, "busy", report.Busy, "role", report.Role, "err", err)
		return
	}
	if !term.Valid() {
		klog.InfoS("engine not ordered", "engine", c.Engine.ID, "reason", "the term is over", "fence", term.Fence)
		return
	}
	err = b.cfg.Engines.Order(ctx, c.Engine, traffic.RoleOrder{
		Role: c.Role, Holder: b.cfg.Self, Fence: term.Fence, After: report.Orders,
	})
	klog.InfoS("engine ordered", "engine", c.Engine.ID, "role", c.Role, "fence", term.Fence, "after", report.Orders, "err", err)
}

// chosen reports whether a host is the one that should have the duty: the first
// by hash of those that are known to live.
func chosen(self domain.HostID, members []domain.Member) bool {
	own := self.RingPosition()
	known := 0
	for _, m := range members {
		if m.State != domain.MemberAlive || m.Incarnation == 0 {
			continue
		}
		known++
		if m.ID != self && m.ID.RingPosition() < own {
			return false
		}
	}
	return known >= min(leastHosts, len(members))
}
