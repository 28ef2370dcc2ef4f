package keeper

import (
	"time"

	"greengagespoke/placement"
)

// Policy decides which predicted releases of decode places may be granted before
// they happen.
type Policy interface {
	// Name identifies the policy in logs and measurements.
	Name() string
	// Freeing returns the predicted releases of a decode upstream that may be
	// promised, in order of time. Promised is the number of places on the
	// upstream that are granted already and not free yet.
	Freeing(ends []PredictedEnd, promised int, buf []placement.Freeing) []placement.Freeing
}

// PredictedEnd is the predicted end of one grant on a decode upstream.
type PredictedEnd struct {
	// In is the expected time until the place is free, and Late a time that few
	// such grants exceed.
	In, Late time.Duration
	Pieces   int
}

// ReserveThenPrefill grants only places that are free, so that no prefill starts
// before its decode place is certain.
type ReserveThenPrefill struct{}

// Name implements Policy.
func (ReserveThenPrefill) Name() string { return "reserve-then-prefill" }

// Freeing implements Policy.
func (ReserveThenPrefill) Freeing([]PredictedEnd, int, []placement.Freeing) []placement.Freeing {
	return nil
}
