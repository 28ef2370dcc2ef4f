package membership

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
)

// source says how a statement reached this host.
type source int

const (
	// fromGossip statements came with a probe or its answer.
	fromGossip source = iota
	// fromSync statements came with a full view and may be old.
	fromSync
)

// merge applies the statements of another host. The caller holds the lock.
func (m *Membership) merge(updates []domain.Member, from source) {
	changed := false
	for _, update := range updates {
		if update.ID == m.self.ID {
			changed = m.refute(update) || changed
			continue
		}
		changed = m.mergeOne(update, from) || changed
	}
	if changed {
		m.publish()
	}
}

// refute answers a statement about this host that is not its own current one. It
// reports whether the own entry changed. That this host is leaving is accepted: a
// peer read it on the host list.
func (m *Membership) refute(update domain.Member) bool {
	if update.Incarnation == m.self.Incarnation && update.State == m.self.State {
		return false
	}
	if update.Incarnation == m.self.Incarnation && update.State == domain.MemberLeaving {
		m.leave()
		return true
	}
	m.spread.add(m.self)
	if update.Incarnation < m.self.Incarnation {
		return false
	}
	m.self.Incarnation = update.Incarnation + 1
	m.spread.add(m.self)
	m.counts.refutations.Add(1)
	return true
}

// mergeOne applies a statement about another host and reports whether the view
// changed.
func (m *Membership) mergeOne(update domain.Member, from source) bool {
	r, known := m.records[update.ID]
	if !known {
		return m.addFromPeer(update, from)
	}
	changed := m.raiseRevision(r, update.Revision)
	if !supersedes(update, r.member) {
		m.spread.heard(update, retransmitLimit(len(m.records)))
		return changed
	}
	if update.Incarnation == r.member.Incarnation {
		if from == fromSync && r.verified() {
			m.checkReport(update)
			return changed
		}
		if update.State == domain.MemberDead && r.member.State != domain.MemberSuspect {
			update.State = domain.MemberSuspect
		}
	}
	m.apply(r, update)
	m.respread(r.member, from)
	return true
}

// respread passes on what came by gossip. Full views reach the others by
// themselves.
func (m *Membership) respread(member domain.Member, from source) {
	if from == fromGossip {
		m.spread.add(member)
	}
}

// checkReport plans a probe of a member that another host's full view has as dead
// or suspect. The member refutes the statement, so that views which drifted apart
// in a partition come together without declaring anyone dead.
func (m *Membership) checkReport(update domain.Member) {
	if update.State != domain.MemberSuspect && update.State != domain.MemberDead {
		return
	}
	if m.records[update.ID].member.State == domain.MemberSuspect {
		return
	}
	known := slices.ContainsFunc(m.verify, func(v domain.Member) bool { return v.ID == update.ID })
	if !known {
		m.verify = append(m.verify, compact(update))
	}
}

// addFromPeer adds a member that another host told of. Deaths of unknown members
// are ignored, as they would bring back dropped ones.
func (m *Membership) addFromPeer(update domain.Member, from source) bool {
	if update.State == domain.MemberDead || update.PeerAddress == "" || update.Incarnation == 0 {
		return false
	}
	r := &record{member: update, changed: time.Now()}
	m.insert(r)
	m.respread(update, from)
	return true
}

// insert adds a record and places it at random in the probe rotation.
func (m *Membership) insert(r *record) {
	m.records[r.member.ID] = r
	at := m.rand.IntN(len(m.rotation) + 1)
	m.rotation = slices.Insert(m.rotation, at, r.member.ID)
}

// apply replaces what is known about a member.
func (m *Membership) apply(r *record, update domain.Member) {
	old := r.member
	if update.PeerAddress == "" {
		update.Zone, update.PeerAddress, update.CallerAddress = old.Zone, old.PeerAddress, old.CallerAddress
	}
	update.Revision = max(update.Revision, old.Revision)
	r.member = update
	if old.State == update.State {
		return
	}
	r.changed = time.Now()
	if update.State != domain.MemberAlive {
		// Callers must soon be sent elsewhere.
		m.announce()
	}
	klog.InfoS("member changed state", "host", m.self.ID, "member", update.ID, "from", old.State, "to", update.State,
		"incarnation", update.Incarnation)
}

// raiseRevision notes a member's table revision and reports whether it grew.
func (m *Membership) raiseRevision(r *record, revision domain.Revision) bool {
	if revision <= r.member.Revision {
		return false
	}
	r.member.Revision = revision
	return true
}
