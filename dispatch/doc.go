// Package dispatch routes callers' requests, whose bodies are opaque to it. It
// chooses the upstream, queues requests, retries failed attempts within a budget
// and decides what the caller is told. A plain call goes to one upstream of a
// service. A generation gets a slot reserved on a decode engine, its prompt is
// processed by a prefill engine, and the response is streamed from the decode
// engine. The package does no I/O itself.
package dispatch
