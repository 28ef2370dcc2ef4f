package quota

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defGranted      = counters.Define("quota_granted", "tokens of customers' quotas that granting hosts granted to this host")
	defSpent        = counters.Define("quota_spent", "tokens charged for requests at this host, less those of requests that did not run")
	defGivenBack    = counters.Define("quota_given_back", "tokens that this host gave back to granting hosts because they were not used")
	defOver         = counters.Define("quota_refused_over", "requests refused because their customer is over its quota")
	defUnknown      = counters.Define("quota_refused_unknown", "requests refused because no granting host of their customer's quota answered in time")
	defAllowance    = counters.Define("quota_allowance", "small requests admitted without a granting host, by the allowance of this host")
	defAsked        = counters.Define("quota_asked", "questions to granting hosts, this host included")
	defNotReached   = counters.Define("quota_not_reached", "questions that the granting host did not answer in time")
	defNotGranting  = counters.Define("quota_not_granting", "questions to a host that does not grant the part at present")
	defPartsGranted = counters.Define("quota_parts_granted", "questions that this host granted as a granting host")
	defPartsDenied  = counters.Define("quota_parts_denied", "questions that this host denied as a granting host")
	defSuspended    = counters.Define("quota_suspended", "times that this host noticed that its process was suspended, so that it granted nothing for a while")
)

type counts struct {
	granted, spent, givenBack, over, unknown, allowance, asked, notReached, notGranting, partsGranted, partsDenied, suspended *expvar.Int
}

func newCounts(set *counters.Set) counts {
	return counts{
		granted: set.Int(defGranted), spent: set.Int(defSpent), givenBack: set.Int(defGivenBack), over: set.Int(defOver),
		unknown: set.Int(defUnknown), allowance: set.Int(defAllowance), asked: set.Int(defAsked), notReached: set.Int(defNotReached),
		notGranting: set.Int(defNotGranting), partsGranted: set.Int(defPartsGranted), partsDenied: set.Int(defPartsDenied),
		suspended: set.Int(defSuspended),
	}
}
