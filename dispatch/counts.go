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
	defGone     = counters.Define("dispatch_gone", "requests whose caller left")
	defReserves = counters.Define("dispatch_reserves", "reservations that were asked for")
	defFull     = counters.Define("dispatch_reserves_rejected", "reservations that were rejected")
	defBusy     = counters.Define("dispatch_prefill_busy", "prefill engines that were asked and were not idle")
	defWait     = counters.Define("dispatch_wait_ms", "time from the arrival of a generation to its place, in milliseconds")
	defPrefill  = counters.Define("dispatch_prefill_ms", "time to have a prompt read, in milliseconds")
	defCall     = counters.Define("dispatch_call_ms", "time of a plain call at its upstream, in milliseconds")
	defVain     = counters.Define("dispatch_prefill_wasted", "prompts that were read in vain")
)

type counts struct {
	refused, answered, repeated, broken, gone, reserves, full, vain, busyReaders *expvar.Int
	wait, prefill, call                                                          *counters.Histogram
}

func newCounts(set *counters.Set) counts {
	return counts{
		refused: set.Int(defRefused), answered: set.Int(defAnswered), repeated: set.Int(defRepeated),
		broken: set.Int(defBroken), gone: set.Int(defGone),
		reserves: set.Int(defReserves), full: set.Int(defFull), vain: set.Int(defVain),
		busyReaders: set.Int(defBusy),
		wait:        set.Histogram(defWait), prefill: set.Histogram(defPrefill), call: set.Histogram(defCall),
	}
}
