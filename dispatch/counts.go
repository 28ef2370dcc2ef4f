package dispatch

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defRefused  = counters.Define("dispatch_refused", "requests that were refused")
	defAnswered = counters.Define("dispatch_answered", "requests that got the whole answer of an upstream")
	defRepeated = counters.Define("dispatch_repeated", "requests that were sent again")
	defBroken   = counters.Define("dispatch_broken", "streams that were broken off")
	defResumed  = counters.Define("dispatch_resumed", "streams that went on at another upstream")
	defGone     = counters.Define("dispatch_gone", "requests whose caller left")
	defReserves = counters.Define("dispatch_reserves", "reservations that were asked for")
	defFull     = counters.Define("dispatch_reserves_rejected", "reservations that were rejected")
	defVain     = counters.Define("dispatch_prefill_wasted", "prompts that were read in vain")
)

type counts struct {
	refused, answered, repeated, broken, resumed, gone, reserves, full, vain *expvar.Int
}

func newCounts(set *counters.Set) counts {
	return counts{
		refused: set.Int(defRefused), answered: set.Int(defAnswered), repeated: set.Int(defRepeated),
		broken: set.Int(defBroken), resumed: set.Int(defResumed), gone: set.Int(defGone),
		reserves: set.Int(defReserves), full: set.Int(defFull), vain: set.Int(defVain),
	}
}
