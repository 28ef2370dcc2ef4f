package domain

// MemberState is the liveness state of an entry host as seen by its peers.
type MemberState string

// The states of a member. Only alive members own new work; leaving members
// finish what they have.
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
	// PeerAddress is where the host listens for its peers.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is where the host listens for callers.
	CallerAddress string      `json:"caller_address"`
	State         MemberState `json:"state"`
	// Incarnation orders statements about the host; the host alone raises it.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the last table revision that the host said it applied.
	Revision Revision `json:"revision"`
}
