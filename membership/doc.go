// Package membership maintains each entry host's view of which entry hosts are
// alive, suspect, leaving or dead.
//
// It implements SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002). In each protocol
// period a host probes one other member, asks a few others to probe that member if
// it does not answer, and piggybacks gossip updates about members on these
// messages. The platform's host list decides which hosts may take part. The view
// is eventually consistent, so mutual exclusion must not depend on it.
package membership
