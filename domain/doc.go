// Package domain holds the types that all other packages share: the rows of the
// two tables, identifiers, refusals, KV cache pieces, grants and frames. It does
// no I/O and imports nothing of this module.
package domain
