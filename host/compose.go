package host

import (
	"greengagespoke/claims"
	"greengagespoke/domain"
	"greengagespoke/hostwatch"
	"greengagespoke/keeper"
	"greengagespoke/membership"
	"greengagespoke/orders"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
	"greengagespoke/routing"
	"greengagespoke/storeguard"
	"greengagespoke/tables"
)

// deferredPeers is given to components before the peers exist. New sets Peers
// afterwards, because the peers in turn need the components.
type deferredPeers struct {
	ports.Peers
}

// New returns a host that is idle until Run is called.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg}
	peers := new(deferredPeers)
	h.hostWatch = hostwatch.New(cfg.HostList, cfg.HostListPoll, cfg.Counters)
	h.Quarantine = quarantine.New(quarantine.Config{Counters: cfg.Counters})
	h.Membership = h.newMembership()
	guard := h.newStoreGuard()
	h.Tables = h.newTableFollower(guard.Tables(), peers)
	h.Keeper = h.newKeeper(peers)
	h.claims = h.newClaimer(guard)
	h.Gate = h.newGate(peers)
	h.orders = h.newOrderController(guard.Tables())
	peers.Peers = cfg.MakePeers(Local{
		Keeper:     h.Keeper,
		Gossip:     h.Membership,
		Tables:     h.Tables,
		Gate:       h.Gate,
		Membership: h.Membership,
	})
	h.Membership.Bind(peers.Peers)
	return h
}

func (h *Host) newMembership() *membership.Membership {
	return membership.New(membership.Config{
		Self:       h.cfg.Self,
		HostList:   h.hostWatch,
		Counters:   h.cfg.Counters,
		Seed:       h.cfg.Seed,
		OnRevision: func(host domain.HostID, rev domain.Revision) { h.Tables.Notice(host, rev) },
		Strikes:    h.Quarantine,
	})
}

func (h *Host) newStoreGuard() *storeguard.Guard {
	return storeguard.New(storeguard.Config{
		Tables:          h.cfg.Store,
		Objects:         h.cfg.Objects,
		WritesPerSecond: h.cfg.StoreWritesPerSecond,
		ReadsPerSecond:  h.cfg.StoreReadsPerSecond,
		Hosts:           h.knownHostCount,
		Counters:        h.cfg.Counters,
	})
}

func (h *Host) newTableFollower(store ports.TableService, peers ports.Peers) *tables.Follower {
	return tables.NewFollower(tables.FollowerConfig{
		Store:        store,
		Peers:        peers,
		Membership:   h.Membership,
		Counters:     h.cfg.Counters,
		PollInterval: h.cfg.TablePoll,
	})
}

func (h *Host) newKeeper(peers ports.Peers) *keeper.Keeper {
	return keeper.New(keeper.Config{
		Self:       h.cfg.Self.ID,
		Zone:       h.cfg.Self.Zone,
		Tables:     h.Tables,
		Membership: h.Membership,
		Upstreams:  h.cfg.Upstreams,
		HostList:   h.hostWatch,
		Counters:   h.cfg.Counters,
		Policy:     h.cfg.KeeperPolicy,
		GatePeers:  peers,
		Quarantine: h.Quarantine,
		Scope:      h.cfg.Scope,
	})
}

func (h *Host) newClaimer(guard *storeguard.Guard) *claims.Claimer {
	return claims.New(claims.Config{
		Store:    guard.Tables(),
		Objects:  guard.Objects(),
		Host:     h.cfg.Self.ID,
		Clock:    h.cfg.Clock,
		Counters: h.cfg.Counters,
	})
}

func (h *Host) newOrderController(store ports.TableService) *orders.Controller {
	return orders.New(orders.Config{
		Self:       h.cfg.Self.ID,
		Store:      store,
		Tables:     h.Tables,
		Membership: h.Membership,
		Upstreams:  h.cfg.Upstreams,
		HostList:   h.hostWatch,
		Editor:     tables.NewEditor(tables.EditorConfig{Store: store, Clock: h.cfg.Clock, Follower: h.Tables}),
		Counters:   h.cfg.Counters,
	})
}

func (h *Host) newGate(peers ports.Peers) *routing.Gate {
	return routing.New(routing.Config{
		Tables:     h.Tables,
		Membership: h.Membership,
		Peers:      peers,
		Upstreams:  h.cfg.Upstreams,
		Quarantine: h.Quarantine,
		Claims:     h.claims,
		Leaving:    h.hostWatch,
		Counters:   h.cfg.Counters,
		Scope:      h.cfg.Scope,
	})
}
