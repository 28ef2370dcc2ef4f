// Package engine is a stand-in for a model engine. It keeps everything in memory
// and models what matters to a router: continuous batching with a limited number
// of slots, memory in pieces, a serial prefill queue with priorities, a prefix
// cache, prefill results that expire, transfers over shared links, numbered
// frames, load reports and cache events that lag, orders, and crashes.
//
// All time comes from package time, so that an engine runs under virtual time
// with testing/synctest and over real connections alike. The figures that tests
// need are counted here and in the Fabric, independently of the code under test.
package engine
