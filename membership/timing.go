package membership

import (
	"math/bits"
	"time"
)

const (
	// DefaultPeriod is the time between two probes of a host.
	DefaultPeriod = time.Second
	// probeShare is the part of a period, in percent, that a direct probe may
	// take; an indirect probe may take the same again.
	probeShare = 40
	// neighborPeriods is how often, in periods, a host probes its neighbor on the
	// ring instead of the next in its random rotation: half of the probes bound the
	// time to the first probe, the other half spread news.
	neighborPeriods = 2
	// indirectProbes is the number of members that are asked to probe a target
	// that did not answer.
	indirectProbes = 3
	// minSuspicionPeriods is the shortest suspicion in periods.
	minSuspicionPeriods = 3
	// retransmitExtra plus log2 of the number of members bounds how often a host
	// sends one statement.
	retransmitExtra = 6
	// maxUpdateBytes bounds the statements in one message, estimated.
	maxUpdateBytes = 300
	// maxStrikes bounds the strikes in one message.
	maxStrikes = 8
	// deadRetryPeriods is the number of periods between probes of members that
	// are dead but on the host list.
	deadRetryPeriods = 5
	// pausePeriods is the gap between two ticks, in periods, that means that
	// this host was paused.
	pausePeriods = 3

	// firstSync is the time from the first full view sync to the second; the
	// time doubles up to steadySync.
	firstSync = time.Second
	// minSteadySync is the shortest time between full view syncs.
	minSteadySync = 30 * time.Second
	// syncPerMember makes the time between full view syncs grow with the view,
	// so that the bytes per second stay the same.
	syncPerMember = time.Second
	// syncTimeout bounds one full view sync.
	syncTimeout = 2 * time.Second
	// healMembers is the number of members that a partition separates at least.
	healMembers = 3
	// announceProbes is the number of extra probes that spread a new table
	// revision or leaving at once.
	announceProbes = 3
	// announceGap is the shortest time between such extra probes.
	announceGap = 500 * time.Millisecond
	// healSyncGap is the shortest time between syncs with members that came back.
	healSyncGap = 10 * time.Second

	// minHostListInterval is the shortest mean time between a host's reads of the
	// host list.
	minHostListInterval = 5 * time.Second
	// hostListPerMember makes the time between reads grow with the view, so that
	// the bytes per second stay the same. Some host reads the list in each such
	// time, and gossip spreads what it found.
	hostListPerMember = 500 * time.Millisecond
	// hostListRetry is the time to the next read while none has succeeded.
	hostListRetry = time.Second
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 3 * time.Second
	// unlistedGrace is how long a member may be missing on the host list before
	// it counts as leaving. It covers the lag of the list.
	unlistedGrace = time.Minute
	// dropAfter is how long a dead member that is not on the host list stays in
	// the view.
	dropAfter = time.Minute
)

// SuspicionPeriods returns the number of periods that a suspect member has to
// refute the suspicion in a view of n members. It grows with log2 of n, as does
// the time in which statements reach all members.
func SuspicionPeriods(n int) int {
	return max(minSuspicionPeriods, log2(n))
}

// retransmitLimit returns how often a host sends one statement.
func retransmitLimit(n int) int {
	return retransmitExtra + log2(n)
}

// steadySync returns the time between full view syncs in a view of n members.
func steadySync(n int) time.Duration {
	return max(minSteadySync, time.Duration(n)*syncPerMember)
}

// log2 returns the logarithm of n+1, rounded up.
func log2(n int) int {
	return bits.Len(uint(max(0, n)))
}
