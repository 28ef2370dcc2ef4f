package domain

// MemberState is the liveness state of an entry host as seen by its peers.
type MemberState string

// The states of a member. Only alive members own new work; leaving members
// finish the work that they already own.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one entry host in the membership view.
type Member struct {
	ID   HostID `json:"id"`
	Zone Zone   `json:"zone"`
	// PeerAddress is the address at which the host listens for other entry hosts.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the address at which the host listens for callers.
	CallerAddress string      `json:"caller_address"`
	State         MemberState `json:"state"`
	// Incarnation orders gossip updates about the host. Only the host itself
	// increases it.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the last table revision that the host reported as applied.
	Revision Revision `json:"revision"`
}
