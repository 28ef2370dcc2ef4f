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
	// checkInterval is the time between two checks of the balance.
	checkInterval = time.Second
	// imbalanceChecks is the number of consecutive checks that must find an imbalance
	// before engines are ordered: restarting engines are missing for a few seconds.
	imbalanceChecks = 3
	// prefillShortageChecks is imbalanceChecks for a shortage of prefill engines: crashed
	// engines are back sooner than decode engines could change their role.
	prefillShortageChecks = 8
	// settleTime is the delay between orders and the next check: engines take 6 s to
	// change their role, and the change must then appear in the registry.
	settleTime = 10 * time.Second
	// termRetryDelay is the delay until the next check after a term was not granted.
	termRetryDelay = 3 * time.Second
	// maxOrdersPerTerm bounds the orders sent in one lease term.
	maxOrdersPerTerm = 12
	// orderTimeout bounds the report and order calls to one engine together. It is
	// several times their usual duration.
	orderTimeout = 600 * time.Millisecond
	// minConfirmedHosts is the number of hosts with a confirmed state that a host must
	// know, in a fleet of more than one, to decide which host is the preferred one.
	minConfirmedHosts = 2
)

// Service is a model service with its ready engines.
type Service struct {
	Name traffic.ServiceName
	// MemoryTokens is the KV-cache capacity of one engine in tokens.
	MemoryTokens int
	Engines      []*traffic.Upstream
}

// Config configures a Balancer.
type Config struct {
	Self domain.HostID
	// Services returns the model services, Members this host's view of all hosts.
	Services func() []Service
	Members  func() []domain.Member
	Loads    *Loads
	Duty     traffic.Duty
	Engines  traffic.EngineControl
	// Ready reports whether this host may acquire the lease.
	Ready func() bool
}

// Balancer keeps the roles of engines balanced. Only the preferred host, which all
// hosts with the same view of the members agree on, tries to acquire the lease, so that
// the others make no calls for it.
type Balancer struct {
	cfg Config
	// imbalancedChecks counts the consecutive checks that found an imbalance.
	imbalancedChecks int
}

// New returns a Balancer.
func New(cfg Config) *Balancer { return &Balancer{cfg: cfg} }

// Run checks the balance until the context ends. It always returns nil.
func (b *Balancer) Run(ctx context.Context) error {
	delay := checkInterval
	for pause.For(ctx, delay) {
		delay = b.check(ctx)
	}
	return nil
}

// check checks the balance once, orders changes if the imbalance is confirmed, and
// returns the delay until the next check.
func (b *Balancer) check(ctx context.Context) time.Duration {
	if !b.cfg.Ready() || !isPreferredHost(b.cfg.Self, b.cfg.Members()) {
		b.imbalancedChecks = 0
		return checkInterval
	}
	changes := b.plan()
	if len(changes) == 0 {
		b.imbalancedChecks = 0
		return checkInterval
	}
	if b.imbalancedChecks++; b.imbalancedChecks < requiredChecks(changes) {
		return checkInterval
	}
	b.imbalancedChecks = 0
	term, err := b.cfg.Duty.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, traffic.ErrTermHeld) {
			klog.InfoS("no term to change engines", "host", b.cfg.Self, "err", err)
		}
		return termRetryDelay
	}
	klog.InfoS("term to change engines", "host", b.cfg.Self, "fence", term.Fence, "changes", len(changes))
	b.sendOrders(ctx, term, changes)
	return settleTime
}

// requiredChecks returns the number of consecutive checks that must find an imbalance
// before the changes are ordered.
func requiredChecks(changes []Change) int {
	for _, c := range changes {
		if c.Role == domain.RolePrefill {
			return prefillShortageChecks
		}
	}
	return imbalanceChecks
}

// plan returns the changes of all services, at most maxOrdersPerTerm.
func (b *Balancer) plan() []Change {
	var changes []Change
	for _, s := range b.cfg.Services() {
		changes = append(changes, Plan(s.Engines, s.MemoryTokens, b.cfg.Loads.Of(s.Name))...)
	}
	return changes[:min(len(changes), maxOrdersPerTerm)]
}

// sendOrders orders all changes concurrently.
func (b *Balancer) sendOrders(ctx context.Context, term traffic.Term, changes []Change) {
	var wg sync.WaitGroup
	for _, c := range changes {
		wg.Go(func() { b.sendOrder(ctx, term, c) })
	}
	wg.Wait()
}

// sendOrder orders one engine to change its role, unless it already did or is busy with
// an order. An order that is not answered is not resent: the engine may still carry it
// out.
func (b *Balancer) sendOrder(ctx context.Context, term traffic.Term, c Change) {
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

// isPreferredHost reports whether a host is the one that should acquire the lease: the
// one with the lowest ring position of the hosts that are confirmed to be alive.
func isPreferredHost(self domain.HostID, members []domain.Member) bool {
	own := self.RingPosition()
	confirmed := 0
	for _, m := range members {
		if m.State != domain.MemberAlive || m.Incarnation == 0 {
			continue
		}
		confirmed++
		if m.ID != self && m.ID.RingPosition() < own {
			return false
		}
	}
	return confirmed >= min(minConfirmedHosts, len(members))
}
