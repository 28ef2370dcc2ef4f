// Package promptcache weighs what an engine that holds the beginning of a prompt saves against
// the wait there.
package promptcache
