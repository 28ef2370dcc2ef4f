// Package gateclient is a caller's client of the entry hosts. It asks a host which
// addresses to use, sends requests to them, and resumes a streamed response on
// another host if a connection breaks.
package gateclient
