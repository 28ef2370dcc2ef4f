package keeper

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/groups"
)

// Run expires grants, updates the groups and polls the engines until the context
// ends. It returns nil after all calls that the keeper started have ended.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.tasks.close()
	defer k.stopped.Store(true)
	k.pollHostList(ctx)
	k.sweep()
	sweeps := time.NewTicker(sweepInterval)
	lists := time.NewTicker(listInterval)
	loads := time.NewTicker(loadInterval)
	hosts := time.NewTicker(hostListInterval)
	defer sweeps.Stop()
	defer lists.Stop()
	defer loads.Stop()
	defer hosts.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweeps.C:
			k.sweep()
		case <-lists.C:
			k.forEachGroup(func(g *group) { g.requestListings(false) })
		case <-loads.C:
			k.forEachGroup((*group).pollPrefill)
		case <-hosts.C:
			k.tasks.spawn(k.pollHostList)
		}
	}
}

func (k *Keeper) forEachGroup(fn func(*group)) {
	for _, g := range k.ownedGroups() {
		fn(g)
	}
}

// sweep creates the groups that this host keeps now, drops those that moved to
// another host, applies table changes, and expires grants and abandoned waiting
// requests.
func (k *Keeper) sweep() {
	if k.stopped.Load() {
		return
	}
	defs := k.definitions()
	members := k.cfg.Membership.Members()
	kept := make(map[domain.GroupID]bool)
	for _, def := range defs {
		if owner, ok := groups.Keeper(def, members); ok && owner == k.cfg.Self {
			kept[def.ID] = true
			g := k.getOrCreateGroup(def)
			g.update(def)
			g.requestListings(true)
			g.expire(time.Now())
		}
	}
	for _, g := range k.ownedGroups() {
		if !kept[g.id] {
			k.dropGroup(g)
		}
	}
}

// definitions returns the groups of all model pools at the current table
// revision. The result is cached for each revision.
func (k *Keeper) definitions() []groups.Group {
	revision := k.cfg.Tables.Revision()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.defs != nil && k.defsRevision == revision {
		return k.defs
	}
	k.defs = []groups.Group{}
	for _, pool := range k.cfg.Tables.Pools() {
		if pool.Kind == domain.PoolModel {
			k.defs = append(k.defs, groups.Of(pool, k.cfg.Scope)...)
		}
	}
	k.defsRevision = revision
	return k.defs
}
