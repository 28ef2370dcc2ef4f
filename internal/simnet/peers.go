package simnet

import (
	"context"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// Handlers are the parts of a host that its peers call. Nil parts answer as an
// unreachable host does.
type Handlers struct {
	Keeper ports.Keeper
	Gossip ports.Gossip
	Tables ports.TablePeer
	Gate   ports.GatePeer
}

// attached is a host on the network.
type attached struct {
	node     Node
	handlers Handlers
}

// Attach puts a host on the network.
func (n *Network) Attach(host domain.HostID, zone domain.Zone, h Handlers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[host] = &attached{node: Node{Name: string(host), Zone: zone}, handlers: h}
}

// Peers returns the other hosts as a host sees them. Its own identifier gives
// its own parts.
func (n *Network) Peers(self domain.HostID, zone domain.Zone) ports.Peers {
	return &peers{network: n, self: Node{Name: string(self), Zone: zone}}
}

type peers struct {
	network *Network
	self    Node
}

// Keeper implements ports.Peers.
func (p *peers) Keeper(host domain.HostID) ports.Keeper { return &peer{peers: p, host: host} }

// Gossip implements ports.Peers.
func (p *peers) Gossip(host domain.HostID) ports.Gossip { return &peer{peers: p, host: host} }

// TablePeer implements ports.Peers.
func (p *peers) TablePeer(host domain.HostID) ports.TablePeer { return &peer{peers: p, host: host} }

// GatePeer implements ports.Peers.
func (p *peers) GatePeer(host domain.HostID) ports.GatePeer { return &peer{peers: p, host: host} }

// peer is another host.
type peer struct {
	peers *peers
	host  domain.HostID
}

// call runs f with the other host's parts.
func (p *peer) call(ctx context.Context, key uint64, f func(Handlers) error) error {
	n := p.peers.network
	n.mu.RLock()
	to := n.hosts[p.host]
	n.mu.RUnlock()
	if to == nil {
		return ports.ErrPeerUnreachable
	}
	if to.node.Name == p.peers.self.Name {
		return p.callSelf(ctx, key, to, f)
	}
	var result error
	if err := n.call(ctx, p.peers.self, to.node, key, func() { result = f(to.handlers) }); err != nil {
		return ports.ErrPeerUnreachable
	}
	return result
}

// callSelf runs f on the host itself. A few microseconds keep calls of one instant
// apart.
func (p *peer) callSelf(ctx context.Context, key uint64, to *attached, f func(Handlers) error) error {
	if !pause.For(ctx, selfDelay(key)) {
		return ports.ErrPeerUnreachable
	}
	return f(to.handlers)
}

// Acquire implements ports.Keeper.
func (p *peer) Acquire(ctx context.Context, group domain.GroupID, req domain.SlotRequest) (grant domain.Grant, err error) {
	key := messageKey("acquire", req.ID, req.Waited)
	err = p.call(ctx, key, func(h Handlers) (err error) {
		if h.Keeper == nil {
			return ports.ErrPeerUnreachable
		}
		grant, err = h.Keeper.Acquire(ctx, group, req)
		return err
	})
	return grant, err
}

// Renew implements ports.Keeper.
func (p *peer) Renew(ctx context.Context, group domain.GroupID, holder domain.HostID, grants []domain.Grant) (lost []domain.GrantID, err error) {
	key := messageKey("renew", group, holder, len(grants))
	err = p.call(ctx, key, func(h Handlers) (err error) {
		if h.Keeper == nil {
			return ports.ErrPeerUnreachable
		}
		lost, err = h.Keeper.Renew(ctx, group, holder, grants)
		return err
	})
	return lost, err
}

// Release implements ports.Keeper.
func (p *peer) Release(ctx context.Context, group domain.GroupID, releases []domain.Release) error {
	key := messageKey("release", group, len(releases))
	for _, r := range releases {
		key ^= messageKey(r.Grant.ID)
	}
	return p.call(ctx, key, func(h Handlers) error {
		if h.Keeper == nil {
			return ports.ErrPeerUnreachable
		}
		return h.Keeper.Release(ctx, group, releases)
	})
}

// Withdraw implements ports.Keeper.
func (p *peer) Withdraw(ctx context.Context, group domain.GroupID, id domain.AttemptID) error {
	return p.call(ctx, messageKey("withdraw", id), func(h Handlers) error {
		if h.Keeper == nil {
			return ports.ErrPeerUnreachable
		}
		return h.Keeper.Withdraw(ctx, group, id)
	})
}

// Probe implements ports.Gossip.
func (p *peer) Probe(ctx context.Context, msg ports.ProbeMessage) (answer ports.ProbeMessage, err error) {
	err = p.call(ctx, messageKey("probe", msg.From), func(h Handlers) (err error) {
		if h.Gossip == nil {
			return ports.ErrPeerUnreachable
		}
		answer, err = h.Gossip.Probe(ctx, msg)
		return err
	})
	return answer, err
}

// ProbeVia implements ports.Gossip.
func (p *peer) ProbeVia(ctx context.Context, target domain.HostID, msg ports.ProbeMessage) (answer ports.ProbeMessage, err error) {
	err = p.call(ctx, messageKey("probe-via", msg.From, target), func(h Handlers) (err error) {
		if h.Gossip == nil {
			return ports.ErrPeerUnreachable
		}
		answer, err = h.Gossip.ProbeVia(ctx, target, msg)
		return err
	})
	return answer, err
}

// Sync implements ports.Gossip.
func (p *peer) Sync(ctx context.Context, view []domain.Member) (answer []domain.Member, err error) {
	err = p.call(ctx, messageKey("sync", len(view)), func(h Handlers) (err error) {
		if h.Gossip == nil {
			return ports.ErrPeerUnreachable
		}
		answer, err = h.Gossip.Sync(ctx, view)
		return err
	})
	return answer, err
}

// Changes implements ports.TablePeer.
func (p *peer) Changes(ctx context.Context, after domain.Revision, limit int) (changes []domain.Change, complete bool, err error) {
	err = p.call(ctx, messageKey("changes", after), func(h Handlers) (err error) {
		if h.Tables == nil {
			return ports.ErrPeerUnreachable
		}
		changes, complete, err = h.Tables.Changes(ctx, after, limit)
		return err
	})
	return changes, complete, err
}

// Snapshot implements ports.TablePeer.
func (p *peer) Snapshot(ctx context.Context) (snapshot ports.TableSnapshot, err error) {
	err = p.call(ctx, messageKey("snapshot"), func(h Handlers) (err error) {
		if h.Tables == nil {
			return ports.ErrPeerUnreachable
		}
		snapshot, err = h.Tables.Snapshot(ctx)
		return err
	})
	return snapshot, err
}

// Announce implements ports.TablePeer.
func (p *peer) Announce(ctx context.Context, changes []domain.Change) error {
	return p.call(ctx, messageKey("announce", len(changes)), func(h Handlers) error {
		if h.Tables == nil {
			return ports.ErrPeerUnreachable
		}
		return h.Tables.Announce(ctx, changes)
	})
}

// Supersede implements ports.GatePeer.
func (p *peer) Supersede(ctx context.Context, key domain.RequestKey, attempt int) (found bool, err error) {
	err = p.call(ctx, messageKey("supersede", key, attempt), func(h Handlers) (err error) {
		if h.Gate == nil {
			return ports.ErrPeerUnreachable
		}
		found, err = h.Gate.Supersede(ctx, key, attempt)
		return err
	})
	return found, err
}

// Cancel implements ports.GatePeer.
func (p *peer) Cancel(ctx context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error {
	return p.call(ctx, messageKey("relay-cancel", upstream, id), func(h Handlers) error {
		if h.Gate == nil {
			return ports.ErrPeerUnreachable
		}
		return h.Gate.Cancel(ctx, pool, upstream, id)
	})
}
