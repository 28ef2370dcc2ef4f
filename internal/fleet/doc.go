// Package fleet builds a small deployment inside one process under virtual time:
// entry hosts, the platform's stand-in, engines and plain services on an
// in-process network, and callers that keep their own books. Fault tests break
// parts of it and then check the promises that must always hold.
package fleet
