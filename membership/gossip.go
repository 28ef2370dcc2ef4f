package membership

import (
	"context"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Probe implements ports.Gossip. The error is always nil.
func (m *Membership) Probe(_ context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	m.receive(msg)
	return m.nextMessage(msg.From, nil), nil
}

// ProbeVia implements ports.Gossip by forwarding the probe to the target. It returns
// ports.ErrPeerUnreachable before Bind, and otherwise the error of the probe.
func (m *Membership) ProbeVia(ctx context.Context, target domain.HostID, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	m.noteHeard()
	gossip := m.gossip(target)
	if gossip == nil {
		return ports.ProbeMessage{}, ports.ErrPeerUnreachable
	}
	return gossip.Probe(ctx, msg)
}

// Sync implements ports.Gossip. The error is always nil.
func (m *Membership) Sync(_ context.Context, view []domain.Member) ([]domain.Member, error) {
	m.noteHeard()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeView(view)
	return m.syncView(), nil
}

// gossip returns the gossip client for another host, or nil before Bind.
func (m *Membership) gossip(host domain.HostID) ports.Gossip {
	m.mu.Lock()
	peers := m.peers
	m.mu.Unlock()
	if peers == nil {
		return nil
	}
	return peers.Gossip(host)
}

// receive applies the contents of a probe or of its answer.
func (m *Membership) receive(msg ports.ProbeMessage) {
	m.mu.Lock()
	m.noteContact(msg)
	m.merge(msg.Updates, fromGossip)
	if r, ok := m.records[msg.From]; ok && m.raiseRevision(r, msg.Revision) {
		m.publish()
	}
	m.mu.Unlock()
	if m.cfg.OnRevision != nil {
		m.cfg.OnRevision(msg.From, msg.Revision)
	}
	if m.cfg.Strikes != nil && len(msg.Strikes) > 0 {
		m.cfg.Strikes.Merge(msg.Strikes)
	}
}

// nextMessage returns the next message for a host. The first update is the one that
// the receiver may have to refute: report, or this host's own update about the
// receiver if report is nil.
func (m *Membership) nextMessage(to domain.HostID, report *domain.Member) ports.ProbeMessage {
	msg := ports.ProbeMessage{From: m.cfg.Self.ID}
	if m.cfg.Strikes != nil {
		strikes := m.cfg.Strikes.Updates()
		msg.Strikes = strikes[:min(len(strikes), maxStrikesPerMessage)]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg.Revision = m.self.Revision
	if report == nil {
		report = m.refutableUpdate(to)
	}
	budget := maxUpdateBytes
	if report != nil {
		msg.Updates = append(msg.Updates, compact(*report))
		budget -= estimatedBytes(compact(*report))
	}
	limit := retransmitLimit(len(m.records))
	msg.Updates = append(msg.Updates, m.broadcasts.take(budget, limit)...)
	return msg
}

// refutableUpdate returns the update that the named host should refute: that it is
// suspect or dead, only known from the host list, or unknown. It returns nil if
// there is nothing to refute.
func (m *Membership) refutableUpdate(host domain.HostID) *domain.Member {
	r, known := m.records[host]
	if !known {
		return &domain.Member{ID: host, State: domain.MemberDead}
	}
	state := r.member.State
	if r.verified() && (state == domain.MemberAlive || state == domain.MemberLeaving) {
		return nil
	}
	belief := domain.Member{ID: host, State: state, Incarnation: r.member.Incarnation}
	return &belief
}

// syncView returns the full view to send in a sync. It omits members that are only
// known from the host list. m.mu must be held.
func (m *Membership) syncView() []domain.Member {
	view := make([]domain.Member, 0, len(m.records)+1)
	view = append(view, m.self)
	for _, r := range m.records {
		if r.verified() {
			view = append(view, r.member)
		}
	}
	return view
}
