package claims

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defClaimed      = counters.Define("claims_claimed", "non-idempotent calls claimed by this host")
	defRepeated     = counters.Define("claims_repeated", "resends answered with the kept outcome")
	defUnknown      = counters.Define("claims_unknown", "calls refused because their outcome is unknown")
	defDuplicates   = counters.Define("claims_duplicates", "calls refused because their key was used for other content")
	defReleased     = counters.Define("claims_released", "claims given up because the call was certainly not sent")
	defStuck        = counters.Define("claims_stuck", "claims of calls that were not sent and stay open, as the store failed")
	defUnsettled    = counters.Define("claims_unsettled", "calls that ran and whose outcome could not be kept")
	defStoreFailed  = counters.Define("claims_store_failed", "calls refused because the table service gave no answer")
	defLate         = counters.Define("claims_outcomes_waiting", "outcomes that wait to be kept until the store recovers")
	defLostAnswers  = counters.Define("claims_lost_answers", "claim writes whose answer was lost")
	defSwept        = counters.Define("claims_swept", "claims removed because they were older than the retention")
	defTransactions = counters.Define("claims_transactions", "transactions that carried claims and outcomes")
	defSplit        = counters.Define("claims_transactions_split", "transactions repeated in halves because one condition did not hold")
)

// claimCounters are the counters of one claimer.
type claimCounters struct {
	claimed, repeated, unknown, duplicates, released                             *expvar.Int
	unsettled, stuck, late, storeFailed, lostAnswers, transactions, split, swept *expvar.Int
}

func newClaimCounters(set *counters.Set) claimCounters {
	return claimCounters{
		claimed:      set.Int(defClaimed),
		repeated:     set.Int(defRepeated),
		unknown:      set.Int(defUnknown),
		duplicates:   set.Int(defDuplicates),
		released:     set.Int(defReleased),
		stuck:        set.Int(defStuck),
		unsettled:    set.Int(defUnsettled),
		late:         set.Int(defLate),
		storeFailed:  set.Int(defStoreFailed),
		lostAnswers:  set.Int(defLostAnswers),
		transactions: set.Int(defTransactions),
		swept:        set.Int(defSwept),
		split:        set.Int(defSplit),
	}
}
