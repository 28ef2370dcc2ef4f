package membership

import (
	"time"

	"greengagespoke/domain"
)

// record holds this host's knowledge of another member.
type record struct {
	member domain.Member
	// stateChangedAt is when the state last changed, or when the suspicion timeout was
	// restarted after a pause of this host.
	stateChangedAt time.Time
	// missingSince is the time of the first read of the host list that lacked the
	// member. It is zero if the last read had it, or if there was no read yet.
	missingSince time.Time
	// listedLeaving and incarnationAtListRead are the leaving mark on the host list and
	// the member's incarnation, both as of the last read that had the member.
	listedLeaving         bool
	incarnationAtListRead uint64
	// excluded is true if the member has been missing from the host list for longer
	// than unlistedGrace.
	excluded bool
}

// verified reports whether the member's incarnation is known. Only the host itself
// sets it; a record created from the host list has incarnation 0.
func (r *record) verified() bool { return r.member.Incarnation > 0 }

// effectiveMember returns the member as seen by users of the view. An excluded member
// that is alive appears as leaving, so that it receives no new work.
func (r *record) effectiveMember() domain.Member {
	m := r.member
	if m.State == domain.MemberAlive && r.excluded {
		m.State = domain.MemberLeaving
	}
	return m
}

// statePrecedence orders the states of one incarnation: a state overrides those with
// a lower precedence. Unknown states have precedence 0.
func statePrecedence(s domain.MemberState) int {
	switch s {
	case domain.MemberAlive:
		return 1
	case domain.MemberLeaving:
		return 2
	case domain.MemberSuspect:
		return 3
	case domain.MemberDead:
		return 4
	default:
		return 0
	}
}

// supersedes reports whether a new update about a member overrides an old one. A
// higher incarnation always does, so that a host that recovered overrides the update
// that it is dead.
func supersedes(next, old domain.Member) bool {
	if next.Incarnation != old.Incarnation {
		return next.Incarnation > old.Incarnation
	}
	return statePrecedence(next.State) > statePrecedence(old.State)
}

// compact removes the zone and the addresses from the update about a suspect or dead
// member, because receivers already know them.
func compact(m domain.Member) domain.Member {
	if m.State == domain.MemberSuspect || m.State == domain.MemberDead {
		m.Zone, m.PeerAddress, m.CallerAddress = "", "", ""
	}
	return m
}

// estimatedBytes returns the approximate encoded size of a gossip update in bytes.
func estimatedBytes(m domain.Member) int {
	const overhead = 18
	return len(m.ID) + len(m.Zone) + len(m.PeerAddress) + len(m.CallerAddress) + len(m.State) + overhead
}
