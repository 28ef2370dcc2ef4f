// Package dispatch decides the life of a caller's request whose body is opaque:
// which upstream gets it, when it waits, when it is sent again, and what the
// caller is told. Plain calls go to one upstream of a service. Generations get a
// reserved place on a decode engine, have their prompt read by a prefill engine
// and are streamed from the decode engine. The package does no I/O.
package dispatch
