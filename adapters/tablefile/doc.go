// Package tablefile reads and writes the rows of the routes and pools tables as a
// YAML file, edits single rows, and compares rows with those in the table service.
// Invalid files and edits are reported as *Error with file, line, key and remedy.
package tablefile
