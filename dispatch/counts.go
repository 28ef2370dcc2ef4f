package dispatch

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defRefused              = counters.Define("dispatch_refused", "requests that were rejected")
	defAnswered             = counters.Define("dispatch_answered", "requests that got the complete response of an upstream")
	defRetried              = counters.Define("dispatch_repeated", "requests that were retried")
	defStreamsBroken        = counters.Define("dispatch_broken", "streams to callers that were aborted")
	defDisconnected         = counters.Define("dispatch_gone", "requests whose caller disconnected during the stream")
	defReservations         = counters.Define("dispatch_reserves", "slot reservations that were requested from decode engines")
	defReservationsRejected = counters.Define("dispatch_reserves_rejected", "slot reservations that failed or were rejected")
	defPrefillBusy          = counters.Define("dispatch_prefill_busy", "prefill engines that were probed and were not idle")
	defWait                 = counters.Define("dispatch_wait_ms", "time from the arrival of a generation to its slot on a decode engine, in milliseconds")
	defPrefill              = counters.Define("dispatch_prefill_ms", "duration of a prefill call, in milliseconds")
	defCall                 = counters.Define("dispatch_call_ms", "duration of a plain call to its upstream, in milliseconds")
	defConnectionsLost      = counters.Define("dispatch_connections_lost", "calls that failed because the upstream closed or reset the connection")
	defCrashes              = counters.Define("dispatch_crashes", "calls during which the process of the upstream ended unplanned")
	defCrashesAbandoned     = counters.Define("dispatch_crashes_abandoned", "requests that had been given up shortly before the process of their upstream ended unplanned")
	defCrashesUnknown       = counters.Define("dispatch_crashes_unknown", "lost connections to an upstream that could not be asked whether it crashed")
	defIsolated             = counters.Define("dispatch_isolated", "attempts that waited for their turn because one more crash would quarantine the request")
	defRateLimited          = counters.Define("dispatch_rate_limited", "requests that were rejected because all upstreams were at the rate limits that they state")
	defStreamsTakenUp       = counters.Define("dispatch_streams_taken_up", "requests of callers that take up a stream after its last event")
	defStreamsResumed       = counters.Define("dispatch_streams_resumed", "streams that went on at an engine within the same response")
	defStreamsMalformed     = counters.Define("dispatch_streams_malformed", "attempts whose response was not the stream of events that was expected")
	defStreamsOtherVersion  = counters.Define("dispatch_streams_other_version", "those that went on at another software version than the one that began them")
	defVersionsGone         = counters.Define("dispatch_versions_gone", "streams that could not go on because no engine of the software version that began them took work")
	defNotReached           = counters.Define("dispatch_not_reached", "calls, reservations and streams that were not sent, as no connection to the upstream was opened")
	defSilent               = counters.Define("dispatch_silent", "calls that were sent and got no answer in their time")
	defPassedOn             = counters.Define("dispatch_passed_on", "requests that were passed on to another host, as this one reached no upstream")
	defHopsFailed           = counters.Define("dispatch_hops_failed", "those that the other host did not serve")
	defHopsGivenUp          = counters.Define("dispatch_hops_given_up", "those that were given up by a time limit before the deadline, while the other host had them")
	defForgotten            = counters.Define("dispatch_upstreams_forgotten", "upstreams that a request had been sent to and that no longer count for its attempts, as it did not reach the process")
	defKeysMissing          = counters.Define("dispatch_keys_missing", "requests that were refused because they carry no key")
	defKeysUnknown          = counters.Define("dispatch_keys_unknown", "requests that were refused because no customer has their key")
	defKeysUndecided        = counters.Define("dispatch_keys_undecided", "requests that were refused because their key may be that of a newer configuration")
	defForCustomers         = counters.Define("dispatch_for_customers", "requests of callers that carried the key of a customer and were accepted")
	defPrefillWasted        = counters.Define("dispatch_prefill_wasted", "prompts that were prefilled for nothing, or may have been, for any of the following causes")
	defWastedCallerGone     = counters.Define("dispatch_prefill_wasted_caller_gone", "those whose caller disconnected, whose deadline passed or whose host ended before they were used")
	defWastedExpired        = counters.Define("dispatch_prefill_wasted_expired", "those that the prefill engine no longer kept when they could have been used")
	defWastedSlotLost       = counters.Define("dispatch_prefill_wasted_slot_lost", "those whose slot on a decode engine expired or was given back")
	defWastedEngineGone     = counters.Define("dispatch_prefill_wasted_engine_gone", "those whose prefill or decode engine was lost, left or was replaced")
	defWastedRejected       = counters.Define("dispatch_prefill_wasted_rejected", "those that the decode engine rejected although it had granted a slot")
	defWastedAnswerLost     = counters.Define("dispatch_prefill_wasted_answer_lost", "those that an engine may have read or used, as its response was lost")
	defWastedQuarantined    = counters.Define("dispatch_prefill_wasted_quarantined", "those whose request was quarantined before they were used")
	defHeldPrefillTokens    = counters.Define("dispatch_held_prefill_tokens", "prompt tokens that the chosen prefill engines were expected to hold")
	defHeldDecodeTokens     = counters.Define("dispatch_held_decode_tokens", "prompt tokens that the chosen decode engines were expected to hold")
	defHeldChoices          = counters.Define("dispatch_held_choices", "engines that were chosen for the prompt tokens that they were expected to hold, instead of another one")
)

// defWastedFor holds the definitions of the counters by cause.
var defWastedFor = [wasteCauses]counters.Def{
	wasteCallerGone: defWastedCallerGone, wasteExpired: defWastedExpired, wasteSlotLost: defWastedSlotLost, wasteEngineGone: defWastedEngineGone,
	wasteRejected: defWastedRejected, wasteAnswerLost: defWastedAnswerLost, wasteQuarantined: defWastedQuarantined,
}

type metrics struct {
	refused, answered, retried, streamsBroken, disconnected,
	reservations, reservationsRejected, prefillsWasted, prefillBusy,
	connectionsLost, crashes, crashesAbandoned, crashesUnknown, isolated, rateLimited,
	streamsTakenUp, streamsResumed, streamsMalformed, streamsOtherVersion, versionsGone,
	notReached, silent, passedOn, hopsFailed, hopsGivenUp, forgotten,
	keysMissing, keysUnknown, keysUndecided, forCustomers,
	heldPrefillTokens, heldDecodeTokens, heldChoices *expvar.Int
	wastedFor               [wasteCauses]*expvar.Int
	slotWait, prefill, call *counters.Histogram
}

func newMetrics(set *counters.Set) metrics {
	m := metrics{
		refused: set.Int(defRefused), answered: set.Int(defAnswered), retried: set.Int(defRetried),
		streamsBroken: set.Int(defStreamsBroken), disconnected: set.Int(defDisconnected),
		reservations: set.Int(defReservations), reservationsRejected: set.Int(defReservationsRejected), prefillsWasted: set.Int(defPrefillWasted),
		prefillBusy: set.Int(defPrefillBusy), connectionsLost: set.Int(defConnectionsLost),
		crashes: set.Int(defCrashes), crashesAbandoned: set.Int(defCrashesAbandoned), crashesUnknown: set.Int(defCrashesUnknown), isolated: set.Int(defIsolated), rateLimited: set.Int(defRateLimited),
		streamsTakenUp: set.Int(defStreamsTakenUp), streamsResumed: set.Int(defStreamsResumed), streamsMalformed: set.Int(defStreamsMalformed), streamsOtherVersion: set.Int(defStreamsOtherVersion),
		versionsGone: set.Int(defVersionsGone), notReached: set.Int(defNotReached), silent: set.Int(defSilent),
		passedOn: set.Int(defPassedOn), hopsFailed: set.Int(defHopsFailed), hopsGivenUp: set.Int(defHopsGivenUp), forgotten: set.Int(defForgotten),
		keysMissing: set.Int(defKeysMissing), keysUnknown: set.Int(defKeysUnknown), keysUndecided: set.Int(defKeysUndecided), forCustomers: set.Int(defForCustomers),
		heldPrefillTokens: set.Int(defHeldPrefillTokens), heldDecodeTokens: set.Int(defHeldDecodeTokens), heldChoices: set.Int(defHeldChoices),
		slotWait: set.Histogram(defWait), prefill: set.Histogram(defPrefill), call: set.Histogram(defCall),
	}
	for cause, def := range defWastedFor {
		m.wastedFor[cause] = set.Int(def)
	}
	return m
}
