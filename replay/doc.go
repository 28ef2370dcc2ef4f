// Package replay runs traces of requests and faults through the real decisions
// and small stand-ins under virtual time, and measures what the callers and the
// stand-ins saw. A trace is a YAML file; docs/REPLAY.md describes its format.
//
// Run must be called inside a testing/synctest bubble.
package replay
