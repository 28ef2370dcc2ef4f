package membership

import (
	"context"
	"time"

	"greengagespoke/domain"
)

// syncTarget returns the member to exchange full views with if a sync is due. The
// interval between syncs doubles from initialSyncInterval to steadySyncInterval, so
// that views converge soon after a start while the steady-state traffic stays low.
func (m *Membership) syncTarget(now time.Time) (domain.HostID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.nextSync) {
		return "", false
	}
	id, ok := m.randomMember(domain.MemberAlive, domain.MemberLeaving)
	if !ok {
		id, ok = m.randomMember(domain.MemberSuspect, domain.MemberDead)
	}
	if !ok {
		return "", false
	}
	m.nextSync = now.Add(m.syncInterval)
	m.syncInterval = min(2*m.syncInterval, steadySyncInterval(len(m.records)))
	return id, true
}

// sync exchanges full views with a member. A failed attempt also makes this host
// ready, because it has tried to join.
func (m *Membership) sync(ctx context.Context, id domain.HostID) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	view := m.syncView()
	m.mu.Unlock()
	answer, err := m.gossip(id).Sync(ctx, view)
	m.ready.Store(true)
	if err != nil {
		return
	}
	m.counts.syncs.Add(1)
	m.noteHeard()
	m.mu.Lock()
	m.mergeView(answer)
	m.mu.Unlock()
	m.reportRevisions(answer)
}

// mergeView applies a full view. If the view reports several members as suspect or
// dead that are not here, a partition has probably ended, so it restarts the sync
// schedule. m.mu must be held.
func (m *Membership) mergeView(view []domain.Member) {
	before := len(m.unverifiedReports)
	m.merge(view, fromSync)
	if len(m.unverifiedReports)-before >= minPartitionMembers {
		m.restartSyncs()
	}
}

// restartSyncs resets the sync interval to its initial value, as after a start. It
// does nothing and returns false if the last reset was less than minHealSyncInterval
// ago.
func (m *Membership) restartSyncs() bool {
	now := time.Now()
	if now.Sub(m.lastSyncRestart) < minHealSyncInterval {
		return false
	}
	m.lastSyncRestart = now
	m.syncInterval = initialSyncInterval
	m.nextSync = now.Add(initialSyncInterval)
	return true
}

// reportRevisions calls OnRevision with the table revision of each other alive member
// of a full view.
func (m *Membership) reportRevisions(view []domain.Member) {
	if m.cfg.OnRevision == nil {
		return
	}
	for _, member := range view {
		if member.ID != m.cfg.Self.ID && member.State == domain.MemberAlive {
			m.cfg.OnRevision(member.ID, member.Revision)
		}
	}
}
