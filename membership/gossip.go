package membership

import (
	"context"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Probe implements ports.Gossip.
func (m *Membership) Probe(_ context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	m.receive(msg)
	return m.message(msg.From, nil), nil
}

// ProbeVia implements ports.Gossip: it passes the probe on to the target.
func (m *Membership) ProbeVia(ctx context.Context, target domain.HostID, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	gossip := m.gossip(target)
	if gossip == nil {
		return ports.ProbeMessage{}, ports.ErrPeerUnreachable
	}
	return gossip.Probe(ctx, msg)
}

// Sync implements ports.Gossip.
func (m *Membership) Sync(_ context.Context, view []domain.Member) ([]domain.Member, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeView(view)
	return m.view(), nil
}

// gossip returns the access to another host, or nil before Bind.
func (m *Membership) gossip(host domain.HostID) ports.Gossip {
	m.mu.Lock()
	peers := m.peers
	m.mu.Unlock()
	if peers == nil {
		return nil
	}
	return peers.Gossip(host)
}

// receive takes in a probe or its answer.
func (m *Membership) receive(msg ports.ProbeMessage) {
	m.mu.Lock()
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

// message returns the next message to a host. A statement about the receiver that
// it may want to refute goes first.
func (m *Membership) message(to domain.HostID, report *domain.Member) ports.ProbeMessage {
	msg := ports.ProbeMessage{From: m.cfg.Self.ID}
	if m.cfg.Strikes != nil {
		strikes := m.cfg.Strikes.Updates()
		msg.Strikes = strikes[:min(len(strikes), maxStrikes)]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg.Revision = m.self.Revision
	if report == nil {
		report = m.beliefAbout(to)
	}
	budget := maxUpdateBytes
	if report != nil {
		msg.Updates = append(msg.Updates, compact(*report))
		budget -= estimatedSize(compact(*report))
	}
	limit := retransmitLimit(len(m.records))
	msg.Updates = append(msg.Updates, m.spread.take(budget, limit)...)
	return msg
}

// beliefAbout returns what the named host should refute: that it is suspect or
// dead, or known from the host list only, or not known at all.
func (m *Membership) beliefAbout(host domain.HostID) *domain.Member {
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

// view returns the full view without members that are known from the host list
// only. The caller holds the lock.
func (m *Membership) view() []domain.Member {
	view := make([]domain.Member, 0, len(m.records)+1)
	view = append(view, m.self)
	for _, r := range m.records {
		if r.verified() {
			view = append(view, r.member)
		}
	}
	return view
}
