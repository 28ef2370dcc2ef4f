// Package relay cancels attempts at upstreams, through another entry host where
// this one cannot reach the upstream. A cut between two availability zones so
// does not hold engine memory, as long as one host reaches both sides.
package relay

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// defaultTimeout bounds the cancel that this host sends itself.
	defaultTimeout = time.Second
	// askTimeout bounds the cancel through one other host.
	askTimeout = 500 * time.Millisecond
	// maxAsked bounds the hosts that are asked in one round.
	maxAsked = 4
	// restTime is how long no host is asked about an upstream after a round
	// without success, so that a dead engine causes few messages.
	restTime = 2 * time.Second
	// maxResting bounds the remembered upstreams.
	maxResting = 1024
)

var (
	counterAsked = counters.Define("relay_cancels_asked_total",
		"cancels that other hosts were asked to send, because this host could not reach the upstream")
	counterDone = counters.Define("relay_cancels_acknowledged_total",
		"cancels that an upstream acknowledged to another host that was asked")
	counterFailed = counters.Define("relay_rounds_failed_total",
		"rounds in which no asked host could cancel at the upstream")
)

// GatePeers gives access to the gates of other hosts. ports.Peers implements it.
type GatePeers interface {
	GatePeer(host domain.HostID) ports.GatePeer
}

// Config holds what a Canceler needs.
type Config struct {
	Upstreams  ports.Upstreams
	Membership ports.Membership
	// Peers reaches the hosts to ask. Nil means that none is asked.
	Peers GatePeers
	// Timeout bounds the cancel that this host sends itself. Default 1 s.
	Timeout time.Duration
	// Counters receives the counts; nil discards them.
	Counters *counters.Set
}

// Attempt says what to cancel and where.
type Attempt struct {
	ID       domain.AttemptID
	Pool     domain.PoolName
	Upstream domain.Upstream
}

// Canceler cancels attempts at upstreams. It is safe for concurrent use.
type Canceler struct {
	cfg                 Config
	asked, done, failed *expvar.Int

	mu sync.Mutex
	// resting holds upstreams that no asked host reached, and until when no host
	// is asked about them.
	resting map[domain.UpstreamID]time.Time
}

// New returns a Canceler.
func New(cfg Config) *Canceler {
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Canceler{
		cfg:     cfg,
		asked:   cfg.Counters.Int(counterAsked),
		done:    cfg.Counters.Int(counterDone),
		failed:  cfg.Counters.Int(counterFailed),
		resting: make(map[domain.UpstreamID]time.Time),
	}
}

// Cancel cancels an attempt once, bounded in time: directly, and where the
// upstream cannot be reached, through other hosts. The error is that of the
// direct call. Callers repeat it.
func (c *Canceler) Cancel(ctx context.Context, a Attempt) error {
	err := c.direct(ctx, a)
	if err == nil || ctx.Err() != nil || !unreachable(err) {
		return err
	}
	if c.cfg.Peers == nil || c.rests(a.Upstream.ID) {
		return err
	}
	if c.askAround(ctx, a) {
		return nil
	}
	return err
}

func (c *Canceler) direct(ctx context.Context, a Attempt) error {
	ctx, stop := context.WithTimeout(ctx, c.cfg.Timeout)
	defer stop()
	return c.cfg.Upstreams.Engine(a.Upstream).Cancel(ctx, a.ID)
}

// unreachable says whether an upstream gave no answer.
func unreachable(err error) bool {
	var engineErr *ports.EngineError
	if errors.As(err, &engineErr) {
		return engineErr.Kind == ports.EngineUnreachable
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// askAround asks one host after the other until one succeeds.
func (c *Canceler) askAround(ctx context.Context, a Attempt) bool {
	self, members := c.cfg.Membership.Self(), c.cfg.Membership.Members()
	for _, host := range choose(self, members, a, time.Now()) {
		if c.ask(ctx, host, a) == nil {
			c.done.Add(1)
			c.wake(a.Upstream.ID)
			return true
		}
	}
	if ctx.Err() == nil {
		c.failed.Add(1)
		c.rest(a.Upstream.ID)
	}
	return false
}

func (c *Canceler) ask(ctx context.Context, host domain.HostID, a Attempt) error {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	c.asked.Add(1)
	return c.cfg.Peers.GatePeer(host).Cancel(ctx, a.Pool, a.Upstream.ID, a.ID)
}

// rests says whether no host is asked about an upstream now.
func (c *Canceler) rests(id domain.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.resting[id]
	return ok && time.Now().Before(until)
}

func (c *Canceler) rest(id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.resting) >= maxResting {
		clear(c.resting)
	}
	c.resting[id] = time.Now().Add(restTime)
}

func (c *Canceler) wake(id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.resting, id)
}
