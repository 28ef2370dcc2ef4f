// Package keeper grants the decode places of groups of upstreams. One host keeps
// a group at a time, chosen by rendezvous hashing over the membership view. It
// knows exactly what it granted, and uses the engines' own reports only to
// correct itself. Requests that find no place wait in a queue that is fair
// between callers.
//
// Two hosts may believe for a moment that they keep the same group. Nothing that
// must be exclusive rests on there being one keeper: the engines' own limits are
// the backstop against too many grants.
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

// Keeper grants the places of the groups that this host keeps. It implements
// ports.Keeper and is safe for concurrent use: each group has its own lock.
type Keeper struct {
	cfg     Config
	metrics *metrics
	// epoch makes grant identifiers unique across restarts of the host.
	epoch    int64
	sequence atomic.Int64
	stopped  atomic.Bool

	tasks *tasks
	// cancels frees the memory of revoked grants and of attempts without one.
	cancels *relay.Canceler

	mu     sync.RWMutex
	groups map[domain.GroupID]*group
	// leaving holds the upstreams that the host list shows as leaving.
	leaving map[domain.UpstreamID]bool
	// defs are the groups of all pools at defsRevision.
	defs         []groups.Group
	defsRevision domain.Revision
}

var _ ports.Keeper = (*Keeper)(nil)

// New returns a keeper. It grants from the start; Run must be running for grants
// to expire and for the engines' reports to be read.
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
		cancels: relay.New(relay.Config{
			Upstreams:  cfg.Upstreams,
			Membership: cfg.Membership,
			Peers:      cfg.GatePeers,
			Timeout:    engineCallTimeout,
			Counters:   cfg.Counters,
		}),
		groups: make(map[domain.GroupID]*group),
	}
}

// Handover gives up the groups that another host keeps now that this one is
// leaving, so that gates go there. Grants in force stay valid for their holders.
// Groups that nobody else can keep stay, as requests in flight may need them.
func (k *Keeper) Handover(context.Context) error {
	k.sweep()
	return nil
}

// Acquire implements ports.Keeper.
func (k *Keeper) Acquire(ctx context.Context, id domain.GroupID, req domain.PlaceRequest) (domain.Grant, error) {
	g, err := k.group(id)
	if err != nil {
		return domain.Grant{}, err
	}
	return g.acquire(ctx, req)
}

// Renew implements ports.Keeper.
func (k *Keeper) Renew(_ context.Context, id domain.GroupID, holder domain.HostID, grants []domain.Grant) ([]domain.GrantID, error) {
	g, err := k.group(id)
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

// group returns the state of a group that this host keeps, or ErrNotKeeper.
func (k *Keeper) group(id domain.GroupID) (*group, error) {
	if k.stopped.Load() {
		k.metrics.notKeeper.Add(1)
		return nil, ports.ErrNotKeeper
	}
	k.mu.RLock()
	g := k.groups[id]
	k.mu.RUnlock()
	if g != nil && g.owned(time.Now()) {
		return g, nil
	}
	def, ok := k.define(id)
	if !ok || !k.keeps(def) {
		k.metrics.notKeeper.Add(1)
		return nil, ports.ErrNotKeeper
	}
	return k.adopt(def), nil
}

// define looks a group up in the pools table.
func (k *Keeper) define(id domain.GroupID) (groups.Group, bool) {
	for _, def := range k.definitions() {
		if def.ID == id {
			return def, true
		}
	}
	return groups.Group{}, false
}

// keeps returns whether this host keeps a group in its own view.
func (k *Keeper) keeps(def groups.Group) bool {
	owner, ok := groups.Keeper(def, k.cfg.Membership.Members())
	return ok && owner == k.cfg.Self
}

// adopt returns the state of a group and creates it where needed. A new group
// grants the places of an engine once the engine said what it runs.
func (k *Keeper) adopt(def groups.Group) *group {
	k.mu.Lock()
	g, ok := k.groups[def.ID]
	if !ok {
		g = newGroup(k, def)
		k.groups[def.ID] = g
		k.metrics.groups.Add(1)
	}
	leaving := k.leaving
	k.mu.Unlock()
	g.confirm(time.Now())
	if !ok {
		g.markLeaving(leaving)
		g.listAll(true)
	}
	return g
}

// held returns the groups that this host keeps, sorted by identifier.
func (k *Keeper) held() []*group {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]*group, 0, len(k.groups))
	for _, g := range k.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return out
}

// drop forgets a group that another host keeps now.
func (k *Keeper) drop(g *group) {
	k.mu.Lock()
	if k.groups[g.id] == g {
		delete(k.groups, g.id)
		k.metrics.groups.Add(-1)
	}
	k.mu.Unlock()
	g.close()
}
