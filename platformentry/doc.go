// Package platformentry implements the daemon of one entry host on the users'
// platform. It connects the decision logic of the catalog, dispatch, stages and
// membership packages to the adapters under platform, applies changes of the settings
// file at run time and drains the host on a graceful shutdown.
package platformentry
