package tables

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defRevision       = counters.Define("tables_revision", "revision of the tables applied on this host")
	defUnreadable     = counters.Define("tables_unreadable_rows", "rows whose newest value this host cannot use")
	defPolls          = counters.Define("tables_polls", "reads of the head from the table service")
	defPollFailures   = counters.Define("tables_poll_failures", "polls that failed")
	defStoreBehind    = counters.Define("tables_store_behind", "polls answered with a revision below the applied one; such answers are ignored")
	defFromStore      = counters.Define("tables_from_store", "updates to a newer revision that were read from the table service")
	defFromPeers      = counters.Define("tables_from_peers", "updates to a newer revision that were pulled from another host")
	defPulls          = counters.Define("tables_pulls", "pulls of changes from other hosts")
	defPullFailures   = counters.Define("tables_pull_failures", "pulls of changes from other hosts that failed")
	defAnnouncements  = counters.Define("tables_announcements", "probes sent to announce a new revision")
	defPeerChanges    = counters.Define("tables_served_changes", "changes served to other hosts")
	defPeerSnapshots  = counters.Define("tables_served_snapshots", "snapshots served to other hosts")
	defAnnounced      = counters.Define("tables_announced_changes", "changes received through the announcement of a program that made them, before this host had them")
	defBootsFromPeers = counters.Define("tables_boots_from_peers", "starts in which other hosts supplied tables because the table service confirmed none")
)

// followerCounters holds the counters of one follower.
type followerCounters struct {
	revision, unreadable                   *expvar.Int
	polls, pollFailures, storeBehind       *expvar.Int
	fromStore, fromPeers                   *expvar.Int
	pulls, pullFailures, announcements     *expvar.Int
	peerChanges, peerSnapshots, peerBooted *expvar.Int
	announced                              *expvar.Int
}

func newFollowerCounters(set *counters.Set) followerCounters {
	return followerCounters{
		revision:      set.Int(defRevision),
		unreadable:    set.Int(defUnreadable),
		polls:         set.Int(defPolls),
		pollFailures:  set.Int(defPollFailures),
		storeBehind:   set.Int(defStoreBehind),
		fromStore:     set.Int(defFromStore),
		fromPeers:     set.Int(defFromPeers),
		pulls:         set.Int(defPulls),
		pullFailures:  set.Int(defPullFailures),
		announcements: set.Int(defAnnouncements),
		peerChanges:   set.Int(defPeerChanges),
		peerSnapshots: set.Int(defPeerSnapshots),
		announced:     set.Int(defAnnounced),
		peerBooted:    set.Int(defBootsFromPeers),
	}
}
