package claims

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defClaimed         = counters.Define("claims_claimed", "non-idempotent calls claimed by this host")
	defRepeated        = counters.Define("claims_repeated", "resends answered with the stored outcome")
	defUnknown         = counters.Define("claims_unknown", "calls refused because their outcome is unknown")
	defDuplicates      = counters.Define("claims_duplicates", "calls refused because their key was used for different content")
	defReleased        = counters.Define("claims_released", "claims released because the call was certainly not sent")
	defStuck           = counters.Define("claims_stuck", "claims that stay open although the call was not sent, because the table service failed")
	defUnsettled       = counters.Define("claims_unsettled", "calls that ran but whose outcome could not be stored")
	defStoreFailed     = counters.Define("claims_store_failed", "calls refused because the table service failed or throttled them")
	defOutcomesWaiting = counters.Define("claims_outcomes_waiting", "outcomes held in memory until the table service stores them")
	defLostAnswers     = counters.Define("claims_lost_answers", "claim writes whose response was lost")
	defSwept           = counters.Define("claims_swept", "claims removed because they were older than the retention")
	defTransactions    = counters.Define("claims_transactions", "transactions that carried claims and outcomes")
	defSplit           = counters.Define("claims_transactions_split", "transactions repeated in halves because one condition did not hold")
)

// claimCounters are the counters of one claimer.
type claimCounters struct {
	claimed, repeated, unknown, duplicates, released                                        *expvar.Int
	unsettled, stuck, outcomesWaiting, storeFailed, lostAnswers, transactions, split, swept *expvar.Int
}

func newClaimCounters(set *counters.Set) claimCounters {
	return claimCounters{
		claimed:         set.Int(defClaimed),
		repeated:        set.Int(defRepeated),
		unknown:         set.Int(defUnknown),
		duplicates:      set.Int(defDuplicates),
		released:        set.Int(defReleased),
		stuck:           set.Int(defStuck),
		unsettled:       set.Int(defUnsettled),
		outcomesWaiting: set.Int(defOutcomesWaiting),
		storeFailed:     set.Int(defStoreFailed),
		lostAnswers:     set.Int(defLostAnswers),
		transactions:    set.Int(defTransactions),
		swept:           set.Int(defSwept),
		split:           set.Int(defSplit),
	}
}
