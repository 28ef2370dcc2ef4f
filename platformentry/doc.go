// Package platformentry is the daemon of one entry host on the users' platform.
// It connects the decisions of catalog, dispatch and membership to the adapters
// below platform.
package platformentry
