// Package simnet connects entry hosts and upstreams inside one process, for
// replays and fault tests under virtual time. It implements ports.Peers,
// ports.Upstreams, ports.Membership and ports.TableView in memory, with delays
// between availability zones, jitter, lost packets, cut links and dead hosts.
//
// Jitter and losses are drawn from a hash of the message, not from a shared
// random source. So a run under testing/synctest gives the same result each
// time, however the goroutines are scheduled.
package simnet
