// Package domain defines the types that all other packages share: rows of the
// routes and pools tables, identifiers, refusals, KV cache pieces, grants and
// stream frames. It performs no I/O and imports no other package of this module.
package domain
