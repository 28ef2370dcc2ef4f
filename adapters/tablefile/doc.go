// Package tablefile reads the rows of the two tables from a YAML file and
// compares them with the rows in the table service. Faults are *Error with
// file, line, key and remedy.
package tablefile
