// Package host assembles the components of one entry host: table follower,
// membership, keeper, gate and their dependencies. It reaches external systems
// only through package ports, so that tests can run many hosts in one process
// under virtual time.
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

// Local holds the components of a host that other entry hosts call.
type Local struct {
	Keeper     ports.Keeper
	Gossip     ports.Gossip
	Tables     ports.TablePeer
	Gate       ports.GatePeer
	Membership ports.Membership
}

// Config holds the dependencies and parameters of a host.
type Config struct {
	Self      domain.Member
	Store     ports.TableService
	Objects   ports.ObjectStore
	HostList  ports.HostList
	Upstreams ports.Upstreams
	Clock     ports.Clock
	Counters  *counters.Set
	// MakePeers returns the clients for other hosts, given the components that
	// this host serves to them.
	MakePeers func(Local) ports.Peers
	// Scope determines which upstreams form a group; empty means
	// groups.ScopeRegion.
	Scope groups.Scope
	// KeeperPolicy decides when decode slots are promised; nil means the default.
	KeeperPolicy keeper.Policy
	// Seed seeds the random choices, so that tests are repeatable.
	Seed uint64
	// EntryPointsMaxAge is how long callers may cache the result of EntryPoints.
	EntryPointsMaxAge time.Duration
	// DrainMargin is how long a stopping host accepts new work beyond
	// EntryPointsMaxAge.
	DrainMargin time.Duration
	// TablePoll is the mean interval between polls of the table revision.
	TablePoll time.Duration
	// StoreWritesPerSecond is the table service's write limit, which all hosts
	// share; zero means the default.
	StoreWritesPerSecond int
	// StoreReadsPerSecond is the table service's read limit, which all hosts
	// share; zero means the default.
	StoreReadsPerSecond int
	// HostListPoll is the mean interval between polls of the host list.
	HostListPoll time.Duration
}

// revisionPublishInterval is the interval at which the applied revision is passed to
// membership.
const revisionPublishInterval = 200 * time.Millisecond

// Host is one entry host. It is created with New.
type Host struct {
	cfg        Config
	Gate       *routing.Gate
	Keeper     *keeper.Keeper
	Membership *membership.Membership
	Tables     *tables.Follower
	Quarantine *quarantine.List
	hostWatch  *hostwatch.Watch
	claims     *claims.Claimer
	orders     *orders.Controller
	refusing   atomic.Bool
}

// Run runs the background loops of the host until ctx is done. For a graceful
// stop, call Leave before ctx is canceled.
func (h *Host) Run(ctx context.Context) error {
	defer h.Gate.Close()
	loops, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		h.hostWatch.Run, h.Membership.Run, h.Tables.Run, h.Keeper.Run, h.Gate.Run, h.claims.Run, h.orders.Run, h.publishRevision,
	} {
		loops.Go(func() error { return run(ctx) })
	}
	return loops.Wait()
}

// knownHostCount returns the number of hosts that share the store's limits. It is the
// larger of two counts: the platform's list shows new hosts all at once, and the
// membership view includes hosts that the list does not have yet.
func (h *Host) knownHostCount() int {
	return max(h.hostWatch.EntryHosts(), len(h.Membership.Members()))
}

// publishRevision regularly passes the applied revision to membership, which
// gossips it to other hosts.
func (h *Host) publishRevision(ctx context.Context) error {
	ticker := time.NewTicker(revisionPublishInterval)
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

// Refusing reports whether the host rejects new work because it is stopping.
func (h *Host) Refusing() bool { return h.refusing.Load() }

// EntryPoints returns the addresses that a caller should use.
func (h *Host) EntryPoints(req entrypoints.Request) entrypoints.Answer {
	return entrypoints.Select(req, h.Membership.Members(), entrypoints.Config{MaxAge: h.cfg.EntryPointsMaxAge})
}

// Leave drains the host for a graceful stop. It announces that the host is
// leaving and hands its groups over to other keepers. For EntryPointsMaxAge plus
// DrainMargin it accepts new work, because callers may still use a cached address.
// Then it rejects new work and waits until no request is in flight. The error is
// that of the handover or the drain, or of ctx if that is done first.
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
