package membership

import (
	"context"
	"time"

	"greengagespoke/domain"
)

// syncTarget returns the member to compare full views with where a sync is due.
// The gap between syncs doubles from firstSync to the steady one, so that views
// come together soon after a start at a cost that stays flat later.
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
	m.nextSync = now.Add(m.syncGap)
	m.syncGap = min(2*m.syncGap, steadySync(len(m.records)))
	return id, true
}

// sync compares full views with a member.
func (m *Membership) sync(ctx context.Context, id domain.HostID) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	view := m.view()
	m.mu.Unlock()
	answer, err := m.gossip(id).Sync(ctx, view)
	m.ready.Store(true)
	if err != nil {
		return
	}
	m.counts.syncs.Add(1)
	m.mu.Lock()
	m.mergeView(answer)
	m.mu.Unlock()
	m.report(answer)
}

// mergeView applies a full view. One that has several members as dead which are
// alive here means that a partition has ended. The caller holds the lock.
func (m *Membership) mergeView(view []domain.Member) {
	before := len(m.verify)
	m.merge(view, fromSync)
	if len(m.verify)-before >= healMembers {
		m.restartSyncs()
	}
}

// restartSyncs makes the next syncs follow each other quickly, as after a start.
// It reports false where that happened a short time ago.
func (m *Membership) restartSyncs() bool {
	now := time.Now()
	if now.Sub(m.lastHeal) < healSyncGap {
		return false
	}
	m.lastHeal = now
	m.syncGap = firstSync
	m.nextSync = now.Add(firstSync)
	return true
}

// report passes on the table revisions of a full view.
func (m *Membership) report(view []domain.Member) {
	if m.cfg.OnRevision == nil {
		return
	}
	for _, member := range view {
		if member.ID != m.cfg.Self.ID && member.State == domain.MemberAlive {
			m.cfg.OnRevision(member.ID, member.Revision)
		}
	}
}
