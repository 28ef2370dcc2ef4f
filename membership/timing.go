package membership

import (
	"math/bits"
	"time"
)

const (
	// DefaultProbePeriod is the default protocol period: the time between two regular
	// probes that a host sends.
	DefaultProbePeriod = time.Second
	// probeTimeoutPercent is the timeout of a direct probe as a percentage of a
	// period. The indirect probe that may follow gets the same timeout.
	probeTimeoutPercent = 40
	// successorProbePeriods is the number of periods between probes of the ring
	// successor; the other periods probe the next member of the random rotation.
	// At 2, half of the probes bound the time until a crashed host is probed, and
	// the other half spread gossip updates.
	successorProbePeriods = 2
	// indirectProbeRelays is the maximum number of members that are asked to probe a
	// target that did not answer a direct probe.
	indirectProbeRelays = 3
	// minSuspicionPeriods is the minimum suspicion timeout, in periods.
	minSuspicionPeriods = 3
	// baseRetransmits plus log2 of the number of members limits how many times a host
	// sends one gossip update.
	baseRetransmits = 6
	// maxUpdateBytes limits the estimated encoded size of the gossip updates in one
	// message.
	maxUpdateBytes = 300
	// maxStrikesPerMessage limits the crash strikes in one message.
	maxStrikesPerMessage = 8
	// deadProbePeriods is the number of periods between probes of random dead
	// members. Dead members on the host list stay in the view, so these probes find
	// the ones that recovered.
	deadProbePeriods = 5
	// pauseThresholdPeriods is the gap between two ticks, in periods, above which this
	// host assumes that its process was paused.
	pauseThresholdPeriods = 3

	// initialSyncInterval is the interval between the first and the second full view
	// sync. The interval then doubles up to the one that steadySyncInterval returns.
	initialSyncInterval = time.Second
	// minSteadySyncInterval is the minimum of steadySyncInterval.
	minSteadySyncInterval = 30 * time.Second
	// syncIntervalPerMember makes the interval between full view syncs proportional to
	// the size of the view, so that the bytes per second stay constant.
	syncIntervalPerMember = time.Second
	// syncTimeout is the timeout of one full view sync.
	syncTimeout = 2 * time.Second
	// minPartitionMembers is the number of members from which a host assumes that a
	// partition has ended: members that are dead in its view when one of them answers
	// again, or members that a received full view newly reports as suspect or dead.
	minPartitionMembers = 3
	// announceProbes is the number of extra probes that immediately spread a new table
	// revision or a member that became suspect, dead or leaving.
	announceProbes = 3
	// minAnnounceInterval is the minimum time between rounds of these extra probes.
	minAnnounceInterval = 500 * time.Millisecond
	// minHealSyncInterval is the minimum time between restarts of the sync schedule
	// after a partition.
	minHealSyncInterval = 10 * time.Second

	// minHostListInterval is the minimum of the mean interval at which a host reads
	// the host list.
	minHostListInterval = 5 * time.Second
	// hostListIntervalPerMember makes the mean interval between a host's reads
	// proportional to the size of the view, so that the bytes per second stay
	// constant. Across all hosts, one read happens in each such duration, and gossip
	// spreads the result.
	hostListIntervalPerMember = 500 * time.Millisecond
	// hostListRetryInterval is the mean interval between reads until the first read
	// succeeds.
	hostListRetryInterval = time.Second
	// hostListTimeout is the timeout of one read of the host list.
	hostListTimeout = 3 * time.Second
	// unlistedGrace is how long a member may be missing from the host list before it
	// is treated as leaving. It allows for the lag of the list.
	unlistedGrace = time.Minute
	// dropDeadAfter is how long a dead member that is not on the host list stays in
	// the view before it is removed.
	dropDeadAfter = time.Minute
)

// SuspicionPeriods returns the suspicion timeout for a view of n members, in
// periods. A suspect member that does not refute the suspicion within it is
// declared dead. The timeout grows with log2 of n, as does the time that a gossip
// update needs to reach all members.
func SuspicionPeriods(n int) int {
	return max(minSuspicionPeriods, log2(n))
}

// retransmitLimit returns how many times a host sends one gossip update in a view
// with n other members.
func retransmitLimit(n int) int {
	return baseRetransmits + log2(n)
}

// steadySyncInterval returns the steady-state interval between full view syncs in a
// view with n other members.
func steadySyncInterval(n int) time.Duration {
	return max(minSteadySyncInterval, time.Duration(n)*syncIntervalPerMember)
}

// log2 returns the base-2 logarithm of n+1, rounded up.
func log2(n int) int {
	return bits.Len(uint(max(0, n)))
}
