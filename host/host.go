// Package host puts the decisions of one entry host together: table follower,
// membership, keeper, gate and what they need. It uses ports only, so that tests
// run many hosts in one process under virtual time.
package host

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/entrypoints"
	"greengagespoke/groups"
	"greengagespoke/hostwatch"
	"greengagespoke/internal/pause"
	"greengagespoke/keeper"
	"greengagespoke/membership"
	"greengagespoke/orders"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
	"greengagespoke/routing"
	"greengagespoke/tables"
)

// Local is the part of a host that its peers call.
type Local struct {
	Keeper     ports.Keeper
	Gossip     ports.Gossip
	Tables     ports.TablePeer
	Gate       ports.GatePeer
	Membership ports.Membership
}

// Config holds what a host works with.
type Config struct {
	Self      domain.Member
	Store     ports.TableService
	Objects   ports.ObjectStore
	HostList  ports.HostList
	Upstreams ports.Upstreams
	Clock     ports.Clock
	Counters  *counters.Set
	// MakePeers returns the access to other hosts, given what this host serves.
	MakePeers func(Local) ports.Peers
	// Scope is the scope of upstream groups; empty means groups.ScopeRegion.
	Scope groups.Scope
	// KeeperPolicy decides when places are promised; nil means the default.
	KeeperPolicy keeper.Policy
	// Seed makes random choices repeatable in tests.
	Seed uint64
	// EntryPointsMaxAge is how long callers may keep an entry points answer.
	EntryPointsMaxAge time.Duration
	// DrainMargin is added to EntryPointsMaxAge before a stopping host refuses
	// new work.
	DrainMargin time.Duration
	// TablePoll is the mean time between polls of the table revision.
	TablePoll time.Duration
	// StoreWritesPerSecond is the table service's limit for all hosts together;
	// zero means the default.
	StoreWritesPerSecond int
	// StoreReadsPerSecond is the same for reads.
	StoreReadsPerSecond int
	// HostListPoll is the mean time between polls of the host list.
	HostListPoll time.Duration
}

// revisionInterval is how often the applied revision is handed to membership.
const revisionInterval = 200 * time.Millisecond

// Host is one entry host.
type Host struct {
	cfg        Config
	Gate       *routing.Gate
	Keeper     *keeper.Keeper
	Membership *membership.Membership
	Tables     *tables.Follower
	Quarantine *quarantine.List
	watch      *hostwatch.Watch
	claims     *claims.Claimer
	orders     *orders.Controller
	refusing   atomic.Bool
}

// Run runs the host's loops until ctx is done. A planned stop calls Leave first.
func (h *Host) Run(ctx context.Context) error {
	defer h.Gate.Close()
	loops, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		h.watch.Run, h.Membership.Run, h.Tables.Run, h.Keeper.Run, h.Gate.Run, h.claims.Run, h.orders.Run, h.announceRevision,
	} {
		loops.Go(func() error { return run(ctx) })
	}
	return loops.Wait()
}

// knownHosts returns the number of hosts that share the store's limits. The
// platform's list shows them all at once, and the membership view also those that
// the list lacks yet.
func (h *Host) knownHosts() int {
	return max(h.watch.EntryHosts(), len(h.Membership.Members()))
}

// announceRevision hands the applied revision to membership, which spreads it.
func (h *Host) announceRevision(ctx context.Context) error {
	ticker := time.NewTicker(revisionInterval)
	defer ticker.Stop()
	for {
		h.Membership.SetRevision(h.Tables.Revision())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Refusing reports whether the host refuses new work because it stops.
func (h *Host) Refusing() bool { return h.refusing.Load() }

// EntryPoints answers which addresses a caller should use.
func (h *Host) EntryPoints(req entrypoints.Request) entrypoints.Answer {
	return entrypoints.Select(req, h.Membership.Members(), entrypoints.Config{MaxAge: h.cfg.EntryPointsMaxAge})
}

// Leave makes a planned stop: it announces that the host is leaving, hands the
// keeper's groups over, keeps accepting work for as long as callers may still
// use the address, then refuses new work and waits for every request in flight.
func (h *Host) Leave(ctx context.Context) error {
	h.Membership.Leave()
	if err := h.Keeper.Handover(ctx); err != nil {
		return err
	}
	timer := pause.NewTimer(h.cfg.EntryPointsMaxAge + h.cfg.DrainMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	h.refusing.Store(true)
	return h.Gate.Drain(ctx)
}
