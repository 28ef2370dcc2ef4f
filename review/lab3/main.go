// Command lab3 plays the scripted cases of the third review: it starts entry hosts as separate
// processes, with stand-ins of the metadata store, the workers and the clients on loopback addresses,
// causes one disruption and checks one rule by what clients and workers saw.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case that ran.
type verdict struct {
	broken  bool
	summary string
}

// cases holds the scripted cases by name. trouble says whether the disruption is to happen.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){
	"gone-machines":    goneMachines,
	"poisoned-streams": poisonedStreams,
}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	program := flag.String("program", "target/greengagespoke", "the program of the deploy file")
	header := flag.String("header", "", "a header of streaming requests, as NAME: VALUE")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *program, *header, *trouble))
}

func play(name, recordPath, program, header string, trouble bool) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	l, err := newLab(recordPath, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	l.header = header
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.close()
		os.Exit(exitFailed)
	}()
	l.note("case %s, disruption %t", name, trouble)
	v, err := run(l, trouble)
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l.note("result: broken=%t, %s", v.broken, v.summary)
	fmt.Printf("broken=%t, %s\n", v.broken, v.summary)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
