// Package promptcache weighs what an engine that holds the beginning of a prompt saves against
// the wait there. The load that it addresses: sessions that return with most of their prompt, in
// bursts, to engines whose memory holds a few prompts each. Sending each request to the engine that
// holds its prompt queues a popular session at one engine; ignoring what engines hold reads
// every prompt in full.
package promptcache
