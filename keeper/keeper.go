// Package keeper allocates the decode slots of groups of upstreams. Each group
// is kept by one host at a time, which is chosen by rendezvous hashing over the
// membership view. That host, the keeper of the group, tracks the grants that it
// gave, and uses the engines' reports only to correct this record. Requests for
// which no slot is free wait in a queue that is fair between callers.
//
// Two hosts may both believe for a moment that they keep the same group. Nothing
// that must be exclusive depends on there being a single keeper: the engines
// enforce their own limits if too many grants are given.
package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengagespoke/domain"
	"greengagespoke/fairqueue"
	"greengagespoke/groups"
	"greengagespoke/ports"
	"greengagespoke/relay"
)

// Keeper allocates the slots of the groups that this host keeps. It implements
// ports.Keeper and is safe for concurrent use: each group has its own lock.
type Keeper struct {
	cfg     Config
	metrics *metrics
	// epoch makes grant identifiers unique across restarts of the host.
	epoch    int64
	sequence atomic.Int64
	stopped  atomic.Bool

	tasks *tasks
	// canceler cancels the attempts of revoked grants and attempts without a grant,
	// so that engines free their memory.
	canceler *relay.Canceler

	mu     sync.RWMutex
	groups map[domain.GroupID]*group
	// leaving holds the upstreams that are marked as leaving in the host list.
	leaving map[domain.UpstreamID]bool
	// defs are the groups of all model pools at defsRevision.
	defs         []groups.Group
	defsRevision domain.Revision
}

var _ ports.Keeper = (*Keeper)(nil)

// New returns a keeper. It gives grants at once, but grants expire and the
// engines' reports are read only while Run is running.
func New(cfg Config) *Keeper {
	if cfg.Policy == nil {
		cfg.Policy = JustInTime{}
	}
	if cfg.Scope == "" {
		cfg.Scope = groups.ScopeRegion
	}
	if cfg.PatientShare == 0 {
		cfg.PatientShare = fairqueue.DefaultPatientShare
	}
	return &Keeper{
		cfg:     cfg,
		metrics: newMetrics(cfg.Counters),
		epoch:   time.Now().UnixNano(),
		tasks:   newTasks(),
		canceler: relay.New(relay.Config{
			Upstreams:  cfg.Upstreams,
			Membership: cfg.Membership,
			Peers:      cfg.GatePeers,
			Timeout:    engineCallTimeout,
			Counters:   cfg.Counters,
		}),
		groups: make(map[domain.GroupID]*group),
	}
}

// Handover gives up the groups that another host keeps now that this host is
// leaving, so that gates call that host. Active grants stay valid for their
// holders. Groups that no other host can keep stay here, as requests in flight
// may need them.
func (k *Keeper) Handover(context.Context) error {
	k.sweep()
	return nil
}

// Acquire implements ports.Keeper.
func (k *Keeper) Acquire(ctx context.Context, id domain.GroupID, req domain.SlotRequest) (domain.Grant, error) {
	g, err := k.ownedGroup(id)
	if err != nil {
		return domain.Grant{}, err
	}
	return g.acquire(ctx, req)
}

// Renew implements ports.Keeper.
func (k *Keeper) Renew(_ context.Context, id domain.GroupID, holder domain.HostID, grants []domain.Grant) ([]domain.GrantID, error) {
	g, err := k.ownedGroup(id)
	if err != nil {
		return nil, err
	}
	return g.renew(holder, grants), nil
}

// Release implements ports.Keeper.
func (k *Keeper) Release(_ context.Context, id domain.GroupID, releases []domain.Release) error {
	k.mu.RLock()
	g := k.groups[id]
	k.mu.RUnlock()
	if g != nil {
		g.release(releases)
	}
	return nil
}

// Withdraw implements ports.Keeper.
func (k *Keeper) Withdraw(_ context.Context, id domain.GroupID, attempt domain.AttemptID) error {
	k.mu.RLock()
	g := k.groups[id]
	k.mu.RUnlock()
	if g != nil {
		g.withdraw(attempt)
	}
	return nil
}

// ownedGroup returns the state of a group that this host keeps, or ErrNotKeeper.
func (k *Keeper) ownedGroup(id domain.GroupID) (*group, error) {
	if k.stopped.Load() {
		k.metrics.notKeeper.Add(1)
		return nil, ports.ErrNotKeeper
	}
	k.mu.RLock()
	g := k.groups[id]
	k.mu.RUnlock()
	if g != nil && g.ownershipFresh(time.Now()) {
		return g, nil
	}
	def, ok := k.definition(id)
	if !ok || !k.owns(def) {
		k.metrics.notKeeper.Add(1)
		return nil, ports.ErrNotKeeper
	}
	return k.getOrCreateGroup(def), nil
}

// definition looks up a group by its identifier in the pools table.
func (k *Keeper) definition(id domain.GroupID) (groups.Group, bool) {
	for _, def := range k.definitions() {
		if def.ID == id {
			return def, true
		}
	}
	return groups.Group{}, false
}

// owns returns whether this host keeps a group according to its own membership
// view.
func (k *Keeper) owns(def groups.Group) bool {
	owner, ok := groups.Keeper(def, k.cfg.Membership.Members())
	return ok && owner == k.cfg.Self
}

// getOrCreateGroup returns the state of a group that this host keeps. A new
// group grants slots of an engine only after the engine has reported what it
// runs.
func (k *Keeper) getOrCreateGroup(def groups.Group) *group {
	k.mu.Lock()
	g, ok := k.groups[def.ID]
	if !ok {
		g = newGroup(k, def)
		k.groups[def.ID] = g
		k.metrics.groups.Add(1)
	}
	leaving := k.leaving
	k.mu.Unlock()
	g.confirmOwnership(time.Now())
	if !ok {
		g.markLeaving(leaving)
		g.requestListings(true)
	}
	return g
}

// ownedGroups returns the groups that this host keeps, sorted by identifier.
func (k *Keeper) ownedGroups() []*group {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]*group, 0, len(k.groups))
	for _, g := range k.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return out
}

// dropGroup removes a group that another host keeps now.
func (k *Keeper) dropGroup(g *group) {
	k.mu.Lock()
	if k.groups[g.id] == g {
		delete(k.groups, g.id)
		k.metrics.groups.Add(-1)
	}
	k.mu.Unlock()
	g.close()
}
