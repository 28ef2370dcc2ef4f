package peerrpc

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Local holds the implementations of this host. Calls to this host on a nil field
// fail with ports.ErrPeerUnreachable.
type Local struct {
	Keeper ports.Keeper
	Gossip ports.Gossip
	Tables ports.TablePeer
	Gate   ports.GatePeer
}

// PeersConfig configures access to the other hosts.
type PeersConfig struct {
	// Self is this host; calls to it go directly to Local, without a connection.
	Self  domain.HostID
	Local Local
	// Membership provides the peer addresses of the other hosts.
	Membership ports.Membership
	// Key is the secret that all hosts share.
	Key string
	// TLS is true if the peers' listeners use TLS.
	TLS bool
	// HTTP is the client to use; nil selects a default client for unencrypted
	// connections.
	HTTP *http.Client
	// Counters receives the traffic counters; nil discards them.
	Counters *counters.Set
}

// Peers implements ports.Peers over twirp. It is safe for concurrent use. It is safe for concurrent use.
type Peers struct {
	cfg    PeersConfig
	client *signingClient

	mu    sync.Mutex
	local Local
	cache map[domain.HostID]clientSet
}

// clientSet holds the clients for one host at one address.
type clientSet struct {
	address string
	keeper  keeperClient
	gossip  gossipClient
	tables  tableClient
	gate    gateClient
	relay   relayClient
	rates   rateClient
	origins originClient
	reach   reachClient
	quotas  quotaClient
}

// NewPeers returns clients for the other hosts in the membership.
func NewPeers(cfg PeersConfig) *Peers {
	if cfg.HTTP == nil {
		cfg.HTTP = newDefaultHTTPClient()
	}
	return &Peers{
		cfg: cfg,
		client: &signingClient{
			http:    cfg.HTTP,
			auth:    newAuthenticator(cfg.Key, time.Now),
			traffic: newTraffic(cfg.Counters),
		},
		local: cfg.Local,
		cache: make(map[domain.HostID]clientSet),
	}
}

// Bind replaces the local implementations. It is for implementations whose
// construction itself needs the Peers.
func (p *Peers) Bind(local Local) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = local
}

// Close closes idle connections to the other hosts.
func (p *Peers) Close() {
	p.cfg.HTTP.CloseIdleConnections()
}

// Keeper implements ports.Peers.
func (p *Peers) Keeper(host domain.HostID) ports.Keeper {
	if local := p.localFor(host); local.Keeper != nil {
		return local.Keeper
	}
	if set, ok := p.remote(host); ok {
		return set.keeper
	}
	return unreachable{}
}

// Gossip implements ports.Peers.
func (p *Peers) Gossip(host domain.HostID) ports.Gossip {
	if local := p.localFor(host); local.Gossip != nil {
		return local.Gossip
	}
	if set, ok := p.remote(host); ok {
		return set.gossip
	}
	return unreachable{}
}

// TablePeer implements ports.Peers.
func (p *Peers) TablePeer(host domain.HostID) ports.TablePeer {
	if local := p.localFor(host); local.Tables != nil {
		return local.Tables
	}
	if set, ok := p.remote(host); ok {
		return set.tables
	}
	return unreachable{}
}

// GatePeer implements ports.Peers.
func (p *Peers) GatePeer(host domain.HostID) ports.GatePeer {
	if local := p.localFor(host); local.Gate != nil {
		return local.Gate
	}
	if set, ok := p.remote(host); ok {
		return set.gate
	}
	return unreachable{}
}

// Relay returns a client for the store rows that another host relays.
func (p *Peers) Relay(host domain.HostID) ports.Relay {
	if set, ok := p.remote(host); ok {
		return set.relay
	}
	return unreachable{}
}

// Rates returns a client for the host that grants requests to an upstream with a rate
// limit.
func (p *Peers) Rates(host domain.HostID) ports.RatePeer {
	if set, ok := p.remote(host); ok {
		return set.rates
	}
	return unreachable{}
}

// Origins returns a client for a host that keeps the origins of streams.
func (p *Peers) Origins(host domain.HostID) ports.OriginPeer {
	if set, ok := p.remote(host); ok {
		return set.origins
	}
	return unreachable{}
}

// Reach returns a client for a host that tells what it reaches.
func (p *Peers) Reach(host domain.HostID) ports.ReachPeer {
	if set, ok := p.remote(host); ok {
		return set.reach
	}
	return unreachable{}
}

// Quotas returns a client for a host that grants tokens of customers' quotas.
func (p *Peers) Quotas(host domain.HostID) ports.QuotaPeer {
	if set, ok := p.remote(host); ok {
		return set.quotas
	}
	return unreachable{}
}

// localFor returns the local implementations if host is this host, and none
// otherwise.
func (p *Peers) localFor(host domain.HostID) Local {
	if host != p.cfg.Self {
		return Local{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local
}

// remote returns the clients for another host, or false if its address is not
// known.
func (p *Peers) remote(host domain.HostID) (clientSet, bool) {
	if host == p.cfg.Self {
		return clientSet{}, false
	}
	members := p.cfg.Membership.Members()
	i := sort.Search(len(members), func(i int) bool { return members[i].ID >= host })
	if i == len(members) || members[i].ID != host || members[i].PeerAddress == "" {
		return clientSet{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	set, ok := p.cache[host]
	if ok && set.address == members[i].PeerAddress {
		return set, true
	}
	if len(p.cache) > 2*len(members) {
		clear(p.cache)
	}
	set = p.newClientSet(host, members[i].PeerAddress)
	p.cache[host] = set
	return set, true
}

func (p *Peers) newClientSet(host domain.HostID, address string) clientSet {
	base := "http://" + address
	if p.cfg.TLS {
		base = "https://" + address
	}
	return clientSet{
		address: address,
		keeper:  keeperClient{host, peerpb.NewKeeperServiceProtobufClient(base, p.client)},
		gossip:  gossipClient{host, peerpb.NewGossipServiceProtobufClient(base, p.client)},
		tables:  tableClient{host, peerpb.NewTableServiceProtobufClient(base, p.client)},
		gate:    gateClient{host, peerpb.NewGateServiceProtobufClient(base, p.client)},
		relay:   relayClient{host, peerpb.NewRelayServiceProtobufClient(base, p.client)},
		rates:   rateClient{host, peerpb.NewRateServiceProtobufClient(base, p.client)},
		origins: originClient{host, peerpb.NewOriginServiceProtobufClient(base, p.client)},
		reach:   reachClient{host, peerpb.NewReachServiceProtobufClient(base, p.client)},
		quotas:  quotaClient{host, peerpb.NewQuotaServiceProtobufClient(base, p.client)},
	}
}
