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

// latePeers gives access to peers that are made after the parts that use them.
type latePeers struct {
	ports.Peers
}

// New returns a host. It does nothing before Run.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg}
	peers := new(latePeers)
	h.watch = hostwatch.New(cfg.HostList, cfg.HostListPoll, cfg.Counters)
	h.Quarantine = quarantine.New(quarantine.Config{Counters: cfg.Counters})
	h.Membership = h.newMembership()
	guard := h.newGuard()
	h.Tables = h.newFollower(guard.Tables(), peers)
	h.Keeper = h.newKeeper(peers)
	h.claims = h.newClaimer(guard)
	h.Gate = h.newGate(peers)
	h.orders = h.newOrders(guard.Tables())
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
		HostList:   h.watch,
		Counters:   h.cfg.Counters,
		Seed:       h.cfg.Seed,
		OnRevision: func(host domain.HostID, rev domain.Revision) { h.Tables.Notice(host, rev) },
		Strikes:    h.Quarantine,
	})
}

func (h *Host) newGuard() *storeguard.Guard {
	return storeguard.New(storeguard.Config{
		Tables:          h.cfg.Store,
		Objects:         h.cfg.Objects,
		WritesPerSecond: h.cfg.StoreWritesPerSecond,
		ReadsPerSecond:  h.cfg.StoreReadsPerSecond,
		Hosts:           h.knownHosts,
		Counters:        h.cfg.Counters,
	})
}

func (h *Host) newFollower(store ports.TableService, peers ports.Peers) *tables.Follower {
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
		HostList:   h.watch,
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

func (h *Host) newOrders(store ports.TableService) *orders.Controller {
	return orders.New(orders.Config{
		Self:       h.cfg.Self.ID,
		Store:      store,
		Tables:     h.Tables,
		Membership: h.Membership,
		Upstreams:  h.cfg.Upstreams,
		HostList:   h.watch,
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
		Leaving:    h.watch,
		Counters:   h.cfg.Counters,
		Scope:      h.cfg.Scope,
	})
}
