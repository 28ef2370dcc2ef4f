package keeper

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/groups"
)

// Run checks grants and groups and reads the engines' reports until the context
// ends. It returns after all calls that the keeper started have ended.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.tasks.close()
	defer k.stopped.Store(true)
	k.watchHosts(ctx)
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
			k.each(func(g *group) { g.listAll(false) })
		case <-loads.C:
			k.each((*group).pollPrefill)
		case <-hosts.C:
			k.tasks.spawn(k.watchHosts)
		}
	}
}

func (k *Keeper) each(fn func(*group)) {
	for _, g := range k.held() {
		fn(g)
	}
}

// sweep adopts the groups that this host keeps, drops those that moved, takes in
// table changes and ends what was abandoned.
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
			g := k.adopt(def)
			g.update(def)
			g.listAll(true)
			g.expire(time.Now())
		}
	}
	for _, g := range k.held() {
		if !kept[g.id] {
			k.drop(g)
		}
	}
}

// definitions returns the groups of all model pools at the table revision in
// force. The result is computed once for each revision.
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
