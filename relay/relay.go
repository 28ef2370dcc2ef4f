// Package relay cancels attempts at upstreams, and relays a cancel through
// another entry host if this host cannot reach the upstream. A network partition
// between two availability zones therefore does not keep engine memory allocated,
// as long as one host can reach both sides.
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
	// defaultDirectTimeout bounds the cancel that this host sends to the upstream
	// itself.
	defaultDirectTimeout = time.Second
	// relayTimeout bounds the cancel that is relayed through one other host.
	relayTimeout = 500 * time.Millisecond
	// maxRelayHosts bounds the hosts that are tried in one relay round.
	maxRelayHosts = 4
	// relayBackoff is how long no cancel to an upstream is relayed after a round
	// in which every host failed, so that a dead engine causes few messages.
	relayBackoff = 2 * time.Second
	// maxBackoffEntries bounds the upstreams whose backoff is remembered. When it
	// is reached, all of them are discarded.
	maxBackoffEntries = 1024
)

var (
	counterRelayed = counters.Define("relay_cancels_asked_total",
		"cancels that other hosts were asked to send, because this host could not reach the upstream")
	counterAcknowledged = counters.Define("relay_cancels_acknowledged_total",
		"cancels that an upstream acknowledged to another host that was asked")
	counterFailedRounds = counters.Define("relay_rounds_failed_total",
		"rounds in which no asked host could cancel at the upstream")
)

// GatePeers returns clients for the gate of other hosts. ports.Peers implements
// it.
type GatePeers interface {
	GatePeer(host domain.HostID) ports.GatePeer
}

// Config holds the dependencies and settings of a Canceler.
type Config struct {
	Upstreams  ports.Upstreams
	Membership ports.Membership
	// Peers reaches the hosts that relay cancels. Nil disables relaying.
	Peers GatePeers
	// Timeout bounds the cancel that this host sends to the upstream itself. Zero
	// means 1 s.
	Timeout time.Duration
	// Counters receives the counters of this package; nil discards them.
	Counters *counters.Set
}

// Attempt identifies an attempt to cancel and the upstream that runs it.
type Attempt struct {
	ID       domain.AttemptID
	Pool     domain.PoolName
	Upstream domain.Upstream
}

// Canceler cancels attempts at upstreams, directly or through other hosts. It is
// safe for concurrent use.
type Canceler struct {
	cfg                                 Config
	relayed, acknowledged, failedRounds *expvar.Int

	mu sync.Mutex
	// backoffUntil holds the upstreams that no host could reach in the last relay
	// round, and the time until which no cancel to them is relayed.
	backoffUntil map[domain.UpstreamID]time.Time
}

// New returns a Canceler with the defaults of cfg filled in.
func New(cfg Config) *Canceler {
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultDirectTimeout
	}
	return &Canceler{
		cfg:          cfg,
		relayed:      cfg.Counters.Int(counterRelayed),
		acknowledged: cfg.Counters.Int(counterAcknowledged),
		failedRounds: cfg.Counters.Int(counterFailedRounds),
		backoffUntil: make(map[domain.UpstreamID]time.Time),
	}
}

// Cancel tries once to cancel an attempt: directly and, if the upstream does not
// answer, through other hosts one after the other. Timeouts bound every call. If
// the cancel is not acknowledged, Cancel returns the error of the direct call;
// callers are expected to retry.
func (c *Canceler) Cancel(ctx context.Context, a Attempt) error {
	err := c.cancelDirect(ctx, a)
	if err == nil || ctx.Err() != nil || !unreachable(err) {
		return err
	}
	if c.cfg.Peers == nil || c.inBackoff(a.Upstream.ID) {
		return err
	}
	if c.relayCancel(ctx, a) {
		return nil
	}
	return err
}

func (c *Canceler) cancelDirect(ctx context.Context, a Attempt) error {
	ctx, stop := context.WithTimeout(ctx, c.cfg.Timeout)
	defer stop()
	return c.cfg.Upstreams.Engine(a.Upstream).Cancel(ctx, a.ID)
}

// unreachable reports whether err means that the upstream did not answer.
func unreachable(err error) bool {
	var engineErr *ports.EngineError
	if errors.As(err, &engineErr) {
		return engineErr.Kind == ports.EngineUnreachable
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// relayCancel runs one relay round: it asks the chosen hosts one after the other
// to cancel the attempt, and reports whether the upstream acknowledged to one of
// them. A round that fails starts the backoff of the upstream.
func (c *Canceler) relayCancel(ctx context.Context, a Attempt) bool {
	self, members := c.cfg.Membership.Self(), c.cfg.Membership.Members()
	for _, host := range chooseHosts(self, members, a, time.Now()) {
		if c.relayTo(ctx, host, a) == nil {
			c.acknowledged.Add(1)
			c.clearBackoff(a.Upstream.ID)
			return true
		}
	}
	if ctx.Err() == nil {
		c.failedRounds.Add(1)
		c.startBackoff(a.Upstream.ID)
	}
	return false
}

func (c *Canceler) relayTo(ctx context.Context, host domain.HostID, a Attempt) error {
	ctx, stop := context.WithTimeout(ctx, relayTimeout)
	defer stop()
	c.relayed.Add(1)
	return c.cfg.Peers.GatePeer(host).Cancel(ctx, a.Pool, a.Upstream.ID, a.ID)
}

// inBackoff reports whether relaying to an upstream is backed off now.
func (c *Canceler) inBackoff(id domain.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.backoffUntil[id]
	return ok && time.Now().Before(until)
}

func (c *Canceler) startBackoff(id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.backoffUntil) >= maxBackoffEntries {
		clear(c.backoffUntil)
	}
	c.backoffUntil[id] = time.Now().Add(relayBackoff)
}

func (c *Canceler) clearBackoff(id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffUntil, id)
}
