package storeguard

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defWrites = [classCount]counters.Def{
		counters.Define("storeguard_writes_leases", "writes to the table service for leases"),
		counters.Define("storeguard_writes_claims", "writes to the table service and object store for claims"),
		counters.Define("storeguard_writes_edits", "writes to the table service for edits and all else"),
	}
	defReads      = counters.Define("storeguard_reads", "reads from the table service and object store")
	defThrottled  = counters.Define("storeguard_throttled", "calls that the platform rejected because of its rate limit")
	defOverBudget = counters.Define("storeguard_over_budget", "calls that this host's budget did not admit in time")
	defRefused    = counters.Define("storeguard_refused", "calls rejected at once while the breaker was open")
	defOpened     = counters.Define("storeguard_breaker_opened", "times that a breaker opened after consecutive failures")
	defFailures   = counters.Define("storeguard_failures", "calls that failed or whose response was lost")
)

// guardCounters holds the counters of one guard.
type guardCounters struct {
	writes                                          [classCount]*expvar.Int
	reads, throttled, overBudget, refused, failures *expvar.Int
	opened                                          *expvar.Int
}

func newGuardCounters(set *counters.Set) guardCounters {
	c := guardCounters{
		reads:      set.Int(defReads),
		throttled:  set.Int(defThrottled),
		overBudget: set.Int(defOverBudget),
		refused:    set.Int(defRefused),
		failures:   set.Int(defFailures),
		opened:     set.Int(defOpened),
	}
	for class, def := range defWrites {
		c.writes[class] = set.Int(def)
	}
	return c
}
