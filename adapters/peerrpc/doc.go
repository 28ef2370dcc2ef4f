// Package peerrpc carries calls between entry hosts over twirp. It serves the
// local keeper, membership, table and gate implementations to other hosts and
// gives access to theirs through the same ports.
//
// Requests are authenticated with a key that all hosts share. Secrecy and
// authentic answers need TLS on the listener.
package peerrpc
