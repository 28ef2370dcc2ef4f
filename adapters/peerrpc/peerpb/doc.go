// Package peerpb is the generated code of the protocol between entry hosts.
// Run scripts/generate after a change of peer.proto.
package peerpb
