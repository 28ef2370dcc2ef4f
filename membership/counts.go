package membership

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defAlive       = counters.Define("membership_alive", "other hosts that are alive in this host's view")
	defKnown       = counters.Define("membership_known", "other hosts in this host's view in any state")
	defProbes      = counters.Define("membership_probes", "direct probes sent")
	defFailed      = counters.Define("membership_probes_failed", "direct probes without an answer in time")
	defIndirect    = counters.Define("membership_indirect_probes", "indirect probes requested from other hosts")
	defSuspicions  = counters.Define("membership_suspicions", "members that this host marked suspect after its own probes failed")
	defDeaths      = counters.Define("membership_deaths", "members that this host declared dead after the suspicion timeout")
	defRefutations = counters.Define("membership_refutations", "incorrect gossip updates about this host that it refuted")
	defSyncs       = counters.Define("membership_syncs", "full view syncs that this host started and completed")
	defListErrors  = counters.Define("membership_host_list_errors", "failed or unusable reads of the host list")
	defOdd         = counters.Define("membership_odd_updates", "updates from other hosts that name no state, no host or an incarnation that no host has; they are ignored")
	defPauses      = counters.Define("membership_pauses", "times that this host detected that its process had been paused")
)

// counts holds the counters and gauges of one host.
type counts struct {
	alive, known, probes, failed, indirect, suspicions, deaths, refutations, syncs, listErrors, pauses, odd *expvar.Int
}

func newCounts(set *counters.Set) counts {
	if set == nil {
		set = counters.NewSet()
	}
	return counts{
		alive:       set.Int(defAlive),
		known:       set.Int(defKnown),
		probes:      set.Int(defProbes),
		failed:      set.Int(defFailed),
		indirect:    set.Int(defIndirect),
		suspicions:  set.Int(defSuspicions),
		deaths:      set.Int(defDeaths),
		refutations: set.Int(defRefutations),
		syncs:       set.Int(defSyncs),
		listErrors:  set.Int(defListErrors),
		pauses:      set.Int(defPauses),
		odd:         set.Int(defOdd),
	}
}
