// Package tables manages the routes and pools tables: validated edits with an
// audit trail, and a follower on each host that applies every accepted change
// within seconds and never returns to an earlier revision.
//
// Rows of the table service, all below the prefix "tables/":
//
//	tables/head                   the last revision and a digest of all rows
//	tables/row/<table>/<row>      one row with the revision that wrote it
//	tables/log/<revision>         one accepted change: the audit trail and delta
//	tables/edit/<edit id>         the revision assigned to an edit
//
// An edit writes all four in one transaction that is conditional on the head, so
// that all checks across rows still hold when it is written. The digest
// distinguishes a consistent set of rows from one that was read during edits or
// from lagging replicas.
package tables
