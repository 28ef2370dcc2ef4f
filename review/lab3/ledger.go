package main

import "time"

const (
	ledgerService = "field-ledger"
	ledgerPath    = "/closures/2f"
	ledgerPrefix  = "/closures/"
	// ledgerDeadline is that of the sheet's requests that must not run twice.
	ledgerDeadline = time.Second
	// inFlight is the time that a request may take from a host to a worker on loopback.
	inFlight = 50 * time.Millisecond
)
