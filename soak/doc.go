// Package soak runs entry hosts as separate processes on one machine, injects
// faults from outside them, and checks the promises that callers and upstreams can
// see. One seed decides a run.
package soak
