// Package gateclient is a client of the entry hosts, as a caller would write it:
// it asks which addresses to use, sends requests there, and continues a streamed
// answer on another host where a connection breaks.
package gateclient
