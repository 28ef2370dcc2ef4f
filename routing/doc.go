// Package routing processes the requests that an entry host accepts. A model
// request goes through slot reservation, prefill, KV cache transfer and
// decode, with retries, stream resumption and cancellation. A call to a plain
// service runs at most once or is retried, as its route says.
//
// A Gate owns each request that it accepted until the complete response has
// been delivered or the request has been rejected, and no engine holds memory
// for it. Decode slots are granted by the keeper of the upstream group.
// Prefill does not start before a slot has been granted.
package routing
