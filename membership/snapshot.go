package membership

import "greengagespoke/domain"

// Snapshot is the number of members by state, this host included.
type Snapshot map[domain.MemberState]int

// Snapshot returns the number of members by state. States that no member has are 0.
func (m *Membership) Snapshot() Snapshot {
	s := Snapshot{domain.MemberAlive: 0, domain.MemberSuspect: 0, domain.MemberLeaving: 0, domain.MemberDead: 0}
	for _, member := range m.Members() {
		s[member.State]++
	}
	return s
}
