package keeper

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defGrants = counters.Define("keeper_grants",
		"decode slots granted")
	defReleases = counters.Define("keeper_releases",
		"grants given back by their holders")
	defExpired = counters.Define("keeper_expired",
		"grants that were not renewed in time")
	defSuperseded = counters.Define("keeper_superseded",
		"waiting requests and grants that a newer attempt replaced")
	defLate = counters.Define("keeper_refused_late",
		"interactive requests refused because the first-token target could not be met")
	defQueueFull = counters.Define("keeper_refused_queue_full",
		"requests refused because their caller had too many waiting")
	defTooLarge = counters.Define("keeper_refused_too_large",
		"requests refused because no decode upstream has the memory for them")
	defNoUpstream = counters.Define("keeper_refused_no_upstream",
		"requests refused because the group has no usable upstream")
	defDropped = counters.Define("keeper_waiting_dropped",
		"waiting requests dropped because their gate stopped calling")
	defNotKeeper = counters.Define("keeper_not_keeper",
		"calls rejected because this host does not keep the group")
	defWaiting = counters.Define("keeper_waiting",
		"requests that wait for a grant now")
	defHeld = counters.Define("keeper_held",
		"active grants now")
	defAdopted = counters.Define("keeper_adopted",
		"grants of another keeper taken over by renewal")
	defPromises = counters.Define("keeper_promises",
		"grants of slots that were predicted to become free")
	defPromisesLate = counters.Define("keeper_promises_late",
		"promised slots that became free later than predicted")
	defPromisesMoved = counters.Define("keeper_promises_moved",
		"promised grants that received a slot on another upstream")
	defStrays = counters.Define("keeper_strays_canceled",
		"cancels of attempts that no grant covered")
	defCancels = counters.Define("keeper_cancels",
		"cancels of attempts sent to engines")
	defTakenOut = counters.Define("keeper_upstreams_taken_out",
		"times that an upstream was taken out of rotation after failures")
	defEngineErrors = counters.Define("keeper_engine_errors",
		"failed listings, load reports and cache event calls")
	defGateErrors = counters.Define("keeper_gate_errors",
		"failed calls that notify a gate of the end of its attempt")
	defHostListErrors = counters.Define("keeper_host_list_errors",
		"failed reads of the host list")
	defCrashes = counters.Define("keeper_crashes",
		"crashes of decode upstreams that a listing confirmed")
	defFalseCrashes = counters.Define("keeper_crashes_denied",
		"reported crashes of upstreams that still ran the requests")
	defCacheEvents = counters.Define("keeper_cache_events",
		"cache events applied")
	defGroups = counters.Define("keeper_groups",
		"groups that this host keeps now")
)

// metrics holds the keeper's counters of one host.
type metrics struct {
	grants, releases, expired, superseded                             *expvar.Int
	refusedLate, refusedQueueFull, refusedTooLarge, refusedNoUpstream *expvar.Int
	droppedWaiting, notKeeper, waiting, heldGrants, groups            *expvar.Int
	adopted                                                           *expvar.Int
	promises, promisesLate, promisesMoved                             *expvar.Int
	canceledStrays, cancels, takenOut                                 *expvar.Int
	engineErrors, gateErrors, hostListErrors                          *expvar.Int
	cacheEvents, crashes, falseCrashes                                *expvar.Int
}

func newMetrics(set *counters.Set) *metrics {
	return &metrics{
		grants:            set.Int(defGrants),
		releases:          set.Int(defReleases),
		expired:           set.Int(defExpired),
		superseded:        set.Int(defSuperseded),
		refusedLate:       set.Int(defLate),
		refusedQueueFull:  set.Int(defQueueFull),
		refusedTooLarge:   set.Int(defTooLarge),
		refusedNoUpstream: set.Int(defNoUpstream),
		droppedWaiting:    set.Int(defDropped),
		notKeeper:         set.Int(defNotKeeper),
		waiting:           set.Int(defWaiting),
		heldGrants:        set.Int(defHeld),
		groups:            set.Int(defGroups),
		adopted:           set.Int(defAdopted),
		promises:          set.Int(defPromises),
		promisesLate:      set.Int(defPromisesLate),
		promisesMoved:     set.Int(defPromisesMoved),
		canceledStrays:    set.Int(defStrays),
		cancels:           set.Int(defCancels),
		takenOut:          set.Int(defTakenOut),
		engineErrors:      set.Int(defEngineErrors),
		gateErrors:        set.Int(defGateErrors),
		hostListErrors:    set.Int(defHostListErrors),
		cacheEvents:       set.Int(defCacheEvents),
		crashes:           set.Int(defCrashes),
		falseCrashes:      set.Int(defFalseCrashes),
	}
}
