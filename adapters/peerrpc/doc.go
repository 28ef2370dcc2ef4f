// Package peerrpc implements remote calls between entry hosts over twirp. It
// serves the local keeper, membership, table, gate and relay implementations to
// other hosts and provides clients for theirs through the same ports.
//
// Requests are authenticated with a key that all hosts share. Confidentiality and
// authenticated responses require TLS on the listener.
package peerrpc
