package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/shard"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// DefaultWindow is the length of the window of the bound if the settings name none.
	DefaultWindow = 8 * time.Second
	// grantLifetime is how long granted tokens may be used. A host that is cut off spends them for
	// as long.
	grantLifetime = time.Second
	// settleTime is how long a host must have been the granting one before it grants: until the one
	// before has learnt it, or no longer hears another host.
	settleTime = 2 * time.Second
	// jointStartTime replaces it within jointStartTTL of the start of hosts that started together:
	// none of them has granted before, so that only their views must agree. If one has, as wall
	// clocks were wrong, two hosts grant a part for 1.4 s, which the unused halves of the overage
	// and the slack cover.
	jointStartTime = 600 * time.Millisecond
	jointStartTTL  = 10 * time.Second
	// tickInterval is the time between two checks of the view, the grants and the clock.
	tickInterval = 250 * time.Millisecond
	// suspendedAfter is the time without such a check after which the process counts as having been
	// suspended. Small hosts are late by hundreds of milliseconds.
	suspendedAfter = time.Second
	// stateTTL is how long the state of a customer is kept that sends no requests.
	stateTTL = time.Minute
	// cleanupInterval is the time between two removals of such states.
	cleanupInterval = 10 * time.Second
	// longestWait bounds the waits that hosts state.
	longestWait = time.Minute
)

// Bounds are the bounds of the settings. In any window, the cost of a customer's requests is at most
// (rate x window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	// Window is DefaultWindow if it is 0.
	Window         time.Duration
	Overage, Slack float64
}

// Contact says when other hosts were last heard of, as times until now.
type Contact struct {
	// Heard is the time since the last message of another host, Suspected that since this host last
	// learnt that others suspect it. Both are very long if there was none.
	Heard, Suspected time.Duration
}

// Config holds the dependencies of Quotas.
type Config struct {
	Self domain.HostID
	Zone domain.Zone
	// Members returns the view of the hosts, Ready reports whether it is complete enough to count
	// them.
	Members func() []domain.Member
	Ready   func() bool
	Contact func() Contact
	// StartedTogether reports whether all hosts of an availability zone started at about the same
	// time as this one, so that none of them has granted before. Nil means that it is not known.
	StartedTogether func(zone domain.Zone) bool
	// Customer returns a customer of the configuration in force at this host, or nil, and the
	// version of the configuration.
	Customer func(name traffic.CustomerName) (*traffic.Customer, domain.Revision)
	// Peer returns a client for another host.
	Peer func(host domain.HostID) ports.QuotaPeer
	// Clock is a clock that includes the time in which the host was suspended. Nil means the
	// process's own.
	Clock    func() time.Duration
	Counters *counters.Set
}

// Quotas charges requests to the quotas of customers, and grants the parts of which this host is the
// granting one. It implements ports.QuotaPeer and is safe for concurrent use.
type Quotas struct {
	cfg      Config
	bounds   atomic.Pointer[Bounds]
	accounts *shard.Map[traffic.CustomerName, *account]
	// current is the view, as of the last check.
	current atomic.Pointer[view]
	counts  counts

	// mu guards what follows: the granting side.
	mu    sync.Mutex
	parts map[partKey]*part
	view  *view
	// viewedAt is when the members were last looked at.
	viewedAt time.Duration
	// views holds the latest views, oldest first.
	views []*view
	// checkedAt is when the process last ran a check.
	checkedAt time.Duration
	// startedAt is when the process started. Buckets begin empty when it has settled.
	startedAt time.Duration
	// mayGrantFrom is when this host may grant after it was suspended or learnt that others suspect
	// it. Buckets begin empty then.
	mayGrantFrom time.Duration
	// quietAt is when this host last was out of touch. Buckets begin to fill again when it has
	// settled.
	quietAt time.Duration
	// askedAt is when another host last asked this one.
	askedAt   time.Duration
	cleanedAt time.Duration
}

// New returns a Quotas that has granted nothing.
func New(cfg Config) *Quotas {
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	now := cfg.Clock()
	q := &Quotas{
		cfg: cfg, accounts: shard.NewMap[traffic.CustomerName, *account](), parts: make(map[partKey]*part),
		counts: newCounts(cfg.Counters), checkedAt: now, startedAt: now, quietAt: now, cleanedAt: now, askedAt: now - longestWait,
	}
	q.SetBounds(Bounds{})
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observeView(now)
	return q
}

// SetBounds sets the bounds of the settings.
func (q *Quotas) SetBounds(b Bounds) {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	q.bounds.Store(&b)
}

// Run keeps the view and the grants up to date until the context ends. It always returns nil.
func (q *Quotas) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var returning sync.WaitGroup
	defer returning.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.tick(ctx, &returning)
		}
	}
}

// tick checks the view and the clock, returns the tokens that were not used in time and removes the
// state of customers that send no requests.
func (q *Quotas) tick(ctx context.Context, returning *sync.WaitGroup) {
	now := q.cfg.Clock()
	q.mu.Lock()
	q.check(now)
	cleanup := now-q.cleanedAt >= cleanupInterval
	if cleanup {
		q.cleanedAt = now
		q.removeUnusedParts(now)
	}
	v := q.view
	q.mu.Unlock()
	for _, a := range q.accounts.Values() {
		for _, r := range a.takeReturns(now, v) {
			returning.Go(func() { q.sendReturn(ctx, r) })
		}
		if cleanup && a.unused(now, stateTTL) {
			q.accounts.Delete(a.name)
		}
	}
}

// jitter returns a random factor between 1 and 1+spread.
func jitter(spread float64) float64 { return 1 + spread*rand.Float64() }
