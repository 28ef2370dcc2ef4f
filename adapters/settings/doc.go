// Package settings reads the YAML settings file of one entry host. Settings are
// decoded strictly and validated as a whole before anything starts. Every invalid
// setting is reported as a one-line *Error with file, line, key and remedy.
package settings
