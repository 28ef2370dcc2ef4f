// Package routing runs the life of one request at the entry host that accepted
// it: place, prefill, transfer, decode, retry, resume and cancel for model
// requests, and at-most-once or retried calls for plain services.
//
// A Gate owns every request it accepted until the request has been answered or
// refused and no engine holds memory for it. Decode places come from the keeper
// of the upstream group; no prefill starts before a place is granted.
package routing
