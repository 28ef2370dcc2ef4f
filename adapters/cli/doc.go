// Package cli implements the command line of greengagespoke, with one file per
// subcommand. Main runs it and returns the exit code; package main only calls Main.
package cli
