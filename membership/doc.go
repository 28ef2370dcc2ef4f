// Package membership keeps the view of which entry hosts are alive, suspect,
// leaving or dead.
//
// It follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002): each period a
// host probes one other member, asks a few others to probe it where there was no
// answer, and piggybacks statements about members on these messages. The
// platform's host list says who may take part. The view is a hint: nothing that
// must be exclusive may rest on it.
package membership
