package membership

import (
	"time"

	"greengagespoke/domain"
)

// record is what this host knows about another member.
type record struct {
	member domain.Member
	// changed is when the state last changed.
	changed time.Time
	// missing is since when reads of the host list lack the member; zero where
	// the last read had it, or none came yet.
	missing time.Time
	// listLeaving and listIncarnation are the mark on the host list and the
	// member's incarnation at the last read.
	listLeaving     bool
	listIncarnation uint64
	// excluded says that the member has been missing on the host list for longer
	// than the grace time.
	excluded bool
}

// verified says that the incarnation came from the host itself, and not from the
// host list.
func (r *record) verified() bool { return r.member.Incarnation > 0 }

// effective returns the member as decisions should see it: one that may not take
// part gets no new work.
func (r *record) effective() domain.Member {
	m := r.member
	if m.State == domain.MemberAlive && r.excluded {
		m.State = domain.MemberLeaving
	}
	return m
}

// rank orders states of the same incarnation: later states override earlier ones.
func rank(s domain.MemberState) int {
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

// supersedes says whether a new statement about a member overrides an old one. A
// higher incarnation always does, so that a host that came back overrides its
// own death.
func supersedes(next, old domain.Member) bool {
	if next.Incarnation != old.Incarnation {
		return next.Incarnation > old.Incarnation
	}
	return rank(next.State) > rank(old.State)
}

// compact removes what receivers already know from a statement.
func compact(m domain.Member) domain.Member {
	if m.State == domain.MemberSuspect || m.State == domain.MemberDead {
		m.Zone, m.PeerAddress, m.CallerAddress = "", "", ""
	}
	return m
}

// estimatedSize returns the encoded size of a statement in bytes, give or take a
// few.
func estimatedSize(m domain.Member) int {
	const overhead = 18
	return len(m.ID) + len(m.Zone) + len(m.PeerAddress) + len(m.CallerAddress) + len(m.State) + overhead
}
