// Package storerelay selects the hosts that read the platform's store directly and
// keeps copies of its tables for the other hosts. In a large fleet a few hosts in
// each availability zone read the store. The other hosts read the copies that those
// hosts keep, and fall back to the store if no copy is recent enough. The package
// does no I/O.
package storerelay
