package simnet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

const (
	// retransmit is the extra delay of a message one of whose packets was lost.
	retransmit = 200 * time.Millisecond
	// cutTimeout is how long a call over a cut link hangs at most.
	cutTimeout = 15 * time.Second
	// maxSelfDelay bounds the delay of a call within a host.
	maxSelfDelay = 20 * time.Microsecond
	// percent is the whole of a percentage.
	percent = 100
)

// errUnreachable is returned for calls that got no answer.
var errUnreachable = errors.New("no answer from the other side")

// Config describes the links.
type Config struct {
	// LocalDelay is the one-way delay within an availability zone.
	LocalDelay time.Duration
	// ZoneDelay is the one-way delay between two availability zones.
	ZoneDelay time.Duration
	// Jitter is the largest extra delay of a message. A few microseconds at
	// least keep events apart, so that runs repeat.
	Jitter time.Duration
	// LossPercent is how many in 100 messages are sent again after a loss.
	LossPercent int
	// Seed seeds jitter and losses.
	Seed uint64
}

// Node is one end of a link: an entry host, an upstream or a caller.
type Node struct {
	Name string
	Zone domain.Zone
}

// Network carries calls between nodes. It is safe for concurrent use.
type Network struct {
	cfg Config

	mu sync.RWMutex
	// dead nodes neither send nor answer.
	dead map[string]bool
	// cut holds pairs of zones, smaller first, that do not reach each other.
	cut   map[[2]domain.Zone]bool
	hosts map[domain.HostID]*attached
}

// New returns a network without nodes.
func New(cfg Config) *Network {
	return &Network{
		cfg:   cfg,
		dead:  make(map[string]bool),
		cut:   make(map[[2]domain.Zone]bool),
		hosts: make(map[domain.HostID]*attached),
	}
}

// SetDead takes a node off the network or brings it back.
func (n *Network) SetDead(name string, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[name] = dead
}

// Dead says whether a node is off the network.
func (n *Network) Dead(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.dead[name]
}

// SetCut cuts or mends the link between two availability zones.
func (n *Network) SetCut(a, b domain.Zone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zonePair(a, b)] = cut
}

func zonePair(a, b domain.Zone) [2]domain.Zone {
	if b < a {
		a, b = b, a
	}
	return [2]domain.Zone{a, b}
}

// state says whether a message from one node reaches another.
func (n *Network) state(from, to Node) (dead, cut bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.dead[to.Name], n.dead[from.Name] || n.cut[zonePair(from.Zone, to.Zone)]
}

// delay returns the one-way delay of a message. The key tells messages apart.
func (n *Network) delay(from, to Node, key uint64) time.Duration {
	d := n.cfg.LocalDelay
	if from.Zone != to.Zone {
		d = n.cfg.ZoneDelay
	}
	h := mix(key ^ n.cfg.Seed ^ xxhash.Sum64String(from.Name) ^ mix(xxhash.Sum64String(to.Name)))
	if n.cfg.Jitter > 0 {
		d += time.Duration(h % uint64(n.cfg.Jitter))
	}
	if int(mix(h)%percent) < n.cfg.LossPercent {
		d += retransmit
	}
	return d
}

// selfDelay returns the delay of a call within a host.
func selfDelay(key uint64) time.Duration {
	return time.Duration(mix(key) % uint64(maxSelfDelay))
}

// mix spreads the bits of x (the finalizer of SplitMix64, Steele et al., 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// messageKey hashes what tells a message apart from others.
func messageKey(parts ...any) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(d, "%v\x00", part)
	}
	return d.Sum64()
}

// call runs f on the other side, between a request and an answer that take their
// time. It returns errUnreachable where there is no answer, without saying
// whether f ran.
func (n *Network) call(ctx context.Context, from, to Node, key uint64, f func()) error {
	if err := n.send(ctx, from, to, key); err != nil {
		return err
	}
	f()
	return n.send(ctx, to, from, key+1)
}

// send takes the time of one message.
func (n *Network) send(ctx context.Context, from, to Node, key uint64) error {
	dead, cut := n.state(from, to)
	if cut {
		pause.For(ctx, cutTimeout)
		return n.fail(from, to, key)
	}
	if !pause.For(ctx, n.delay(from, to, key)) {
		return n.fail(from, to, key)
	}
	if dead || n.Dead(to.Name) {
		return errUnreachable
	}
	return nil
}

// fail returns the error of a message that got lost. Calls that time out at one
// instant return a few microseconds apart.
func (n *Network) fail(from, to Node, key uint64) error {
	time.Sleep(selfDelay(key ^ xxhash.Sum64String(from.Name+"\x00"+to.Name)))
	return errUnreachable
}
