// Package docstest checks the reference pages against the code: settings, table
// rows, counters and refusals. It holds tests only. "go test ./internal/docstest
// -update" writes the generated parts of the pages anew.
package docstest
