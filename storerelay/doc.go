// Package storerelay decides which hosts read the platform's store themselves and
// keeps copies of its tables for the others. In a large fleet a few hosts of each
// availability zone read the store; the others read the copies of these, and the
// store itself where no copy is recent. It does no I/O.
package storerelay
