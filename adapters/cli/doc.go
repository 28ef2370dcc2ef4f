// Package cli is the command line of greengagespoke: one file for each
// subcommand. Main runs it and returns the exit code; package main only calls
// Main.
package cli
