// Package capacity measures the wire sizes on which docs/CAPACITY.md rests. It
// holds benchmarks only.
package capacity
