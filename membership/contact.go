package membership

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// neverAgo is the time since an event that did not happen.
const neverAgo = 24 * time.Hour

// Contact returns the time since this host last received a message of another host, and since it
// last learnt from one that others hold this host for suspect or dead.
// Both include the time in which the host was suspended if Config.Clock does.
func (m *Membership) Contact() (heard, suspected time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock()
	return now - m.heardAt, now - m.suspectedAt
}

// noteHeard records a message of another host.
func (m *Membership) noteHeard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = m.cfg.Clock()
}

// noteContact records a message of another host, and whether it says that this host is suspect. Full
// views are not asked, as they may be old. It must be called before the message is merged, with m.mu
// held.
func (m *Membership) noteContact(msg ports.ProbeMessage) {
	now := m.cfg.Clock()
	m.heardAt = now
	for _, update := range msg.Updates {
		suspect := update.State == domain.MemberSuspect || update.State == domain.MemberDead
		if suspect && update.ID == m.self.ID && update.Incarnation >= m.self.Incarnation && plausible(update) {
			m.suspectedAt = now
		}
	}
}
