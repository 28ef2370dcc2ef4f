// Command standin plays the cases of the review: it starts hosts as separate processes, beside
// stand-ins of their platform, workers and clients, and exits with 1 if a rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the programs by the first argument.
var cases = map[string]func(args []string) (int, error){
	"worker":   runWorker,
	"unframed": runUnframed,
	"uploads":  runUploads,
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: name a case")
		os.Exit(exitFailed)
	}
	code, err := cases[os.Args[1]](os.Args[2:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		code = exitFailed
	}
	os.Exit(code)
}
