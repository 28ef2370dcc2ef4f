// Package tables keeps the routes and pools tables: validated edits with an
// audit trail, and a follower on each host that has every accepted change in
// force within seconds and never goes back to an earlier one.
//
// Rows of the table service, all below the prefix "tables/":
//
//	tables/head                   the last revision and a digest of all rows
//	tables/row/<table>/<row>      one row with the revision that wrote it
//	tables/log/<revision>         one accepted change: the audit trail and delta
//	tables/edit/<edit id>         the revision that an edit got
//
// An edit writes all four in one transaction that is conditional on the head, so
// that all checks across rows hold at the moment of the write. The digest tells
// a consistent set of rows from one that was read while edits went on or from
// replicas that lag.
package tables
