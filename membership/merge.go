package membership

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
)

// updateSource identifies how a gossip update reached this host.
type updateSource int

const (
	// fromGossip marks updates that came with a probe or its answer.
	fromGossip updateSource = iota
	// fromSync marks updates that came with a full view. They may be stale.
	fromSync
)

// merge applies the updates from another host. m.mu must be held.
func (m *Membership) merge(updates []domain.Member, from updateSource) {
	changed := false
	for _, update := range updates {
		if !plausible(update) {
			m.counts.odd.Add(1)
			klog.InfoS("odd update about a member ignored", "host", m.self.ID, "member", update.ID, "state", update.State, "incarnation", update.Incarnation)
			continue
		}
		if update.ID == m.self.ID {
			changed = m.refute(update) || changed
			continue
		}
		changed = m.mergeUpdate(update, from) || changed
	}
	if changed {
		m.publish()
	}
}

// maxIncarnation bounds incarnations, which begin as milliseconds since 1970. A host could not refute
// one of the greatest numbers.
const maxIncarnation = 1 << 53

// plausible reports whether a host may have sent an update.
func plausible(update domain.Member) bool {
	switch update.State {
	case domain.MemberAlive, domain.MemberSuspect, domain.MemberLeaving, domain.MemberDead:
		return update.ID != "" && update.Incarnation < maxIncarnation
	default:
		return false
	}
}

// refute handles an update about this host and reports whether the host's own entry
// changed. An update that contradicts the current entry is refuted by gossiping the
// entry, with a higher incarnation if needed. An update of the current incarnation
// that says that this host is leaving is accepted, because a peer read that on the
// host list.
func (m *Membership) refute(update domain.Member) bool {
	if update.Incarnation == m.self.Incarnation && update.State == m.self.State {
		return false
	}
	if update.Incarnation == m.self.Incarnation && update.State == domain.MemberLeaving {
		m.leaveLocked()
		return true
	}
	m.broadcasts.add(m.self)
	if update.Incarnation < m.self.Incarnation {
		return false
	}
	m.self.Incarnation = update.Incarnation + 1
	m.broadcasts.add(m.self)
	m.counts.refutations.Add(1)
	return true
}

// mergeUpdate applies an update about another host and reports whether the view
// changed.
func (m *Membership) mergeUpdate(update domain.Member, from updateSource) bool {
	r, known := m.records[update.ID]
	if !known {
		return m.addUnknown(update, from)
	}
	changed := m.raiseRevision(r, update.Revision)
	if !supersedes(update, r.member) {
		m.broadcasts.countReceived(update, retransmitLimit(len(m.records)))
		return changed
	}
	if update.Incarnation == r.member.Incarnation {
		if from == fromSync && r.verified() {
			m.scheduleVerification(update)
			return changed
		}
		if update.State == domain.MemberDead && r.member.State != domain.MemberSuspect {
			update.State = domain.MemberSuspect
		}
	}
	m.applyUpdate(r, update)
	m.rebroadcast(r.member, from)
	return true
}

// rebroadcast queues an update that came by gossip. Updates from a full view are not
// queued, because the other hosts receive them by their own syncs.
func (m *Membership) rebroadcast(member domain.Member, from updateSource) {
	if from == fromGossip {
		m.broadcasts.add(member)
	}
}

// scheduleVerification schedules a probe of a member that another host's full view
// reports as suspect or dead. The probe lets the member refute the report, so that
// views that diverged during a partition converge without false deaths.
func (m *Membership) scheduleVerification(update domain.Member) {
	if update.State != domain.MemberSuspect && update.State != domain.MemberDead {
		return
	}
	if m.records[update.ID].member.State == domain.MemberSuspect {
		return
	}
	known := slices.ContainsFunc(m.unverifiedReports, func(v domain.Member) bool { return v.ID == update.ID })
	if !known {
		m.unverifiedReports = append(m.unverifiedReports, compact(update))
	}
}

// addUnknown adds a member that this host learns of from another host. It ignores
// dead members, because adding them would bring back members already removed.
func (m *Membership) addUnknown(update domain.Member, from updateSource) bool {
	if update.State == domain.MemberDead || update.PeerAddress == "" || update.Incarnation == 0 {
		return false
	}
	r := &record{member: update, stateChangedAt: time.Now()}
	m.insert(r)
	m.rebroadcast(update, from)
	return true
}

// insert adds a record and inserts the member at a random position of the probe
// rotation.
func (m *Membership) insert(r *record) {
	m.records[r.member.ID] = r
	at := m.rand.IntN(len(m.rotation) + 1)
	m.rotation = slices.Insert(m.rotation, at, r.member.ID)
}

// applyUpdate replaces a member's record. It keeps the known addresses if the update
// has none, and the higher of the two table revisions.
func (m *Membership) applyUpdate(r *record, update domain.Member) {
	old := r.member
	if update.PeerAddress == "" {
		update.Zone, update.PeerAddress, update.CallerAddress = old.Zone, old.PeerAddress, old.CallerAddress
	}
	update.Revision = max(update.Revision, old.Revision)
	r.member = update
	if old.State == update.State {
		return
	}
	r.stateChangedAt = time.Now()
	if update.State != domain.MemberAlive {
		// Other hosts must stop directing callers to this member soon.
		m.announce()
	}
	klog.InfoS("member changed state", "host", m.self.ID, "member", update.ID, "from", old.State, "to", update.State,
		"incarnation", update.Incarnation)
}

// raiseRevision records a member's table revision if it is above the known one, and
// reports whether it was.
func (m *Membership) raiseRevision(r *record, revision domain.Revision) bool {
	if revision <= r.member.Revision {
		return false
	}
	r.member.Revision = revision
	return true
}
