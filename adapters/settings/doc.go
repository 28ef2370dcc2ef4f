// Package settings reads the YAML settings of one entry host. Settings are
// decoded strictly and checked as a whole before anything starts; every fault is
// an *Error of one line with file, line, key and remedy.
package settings
