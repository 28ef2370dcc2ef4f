package tables

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defRevision       = counters.Define("tables_revision", "revision of the tables in force on this host")
	defUnreadable     = counters.Define("tables_unreadable_rows", "rows whose newest value this host cannot use")
	defPolls          = counters.Define("tables_polls", "reads of the head from the table service")
	defPollFailures   = counters.Define("tables_poll_failures", "polls that failed")
	defStoreBehind    = counters.Define("tables_store_behind", "polls answered with a revision below the one in force; none was applied")
	defFromStore      = counters.Define("tables_from_store", "times that newer tables came from the table service")
	defFromPeers      = counters.Define("tables_from_peers", "times that newer tables came from another host")
	defPulls          = counters.Define("tables_pulls", "pulls of changes from other hosts")
	defPullFailures   = counters.Define("tables_pull_failures", "pulls of changes from other hosts that failed")
	defAnnouncements  = counters.Define("tables_announcements", "probes sent to announce a new revision")
	defPeerChanges    = counters.Define("tables_served_changes", "changes served to other hosts")
	defPeerSnapshots  = counters.Define("tables_served_snapshots", "snapshots served to other hosts")
	defAnnounced      = counters.Define("tables_announced_changes", "changes that a program announced after it made them, before this host knew them")
	defBootsFromPeers = counters.Define("tables_boots_from_peers", "starts with the tables of other hosts, as the table service gave none")
)

// followerCounters are the counters of one follower.
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
