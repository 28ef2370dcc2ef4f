package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/domain"
)

const (
	// defaultWait is the default time to wait until all hosts apply an edit.
	defaultWait = 30 * time.Second
	// waitInterval is the pause between two rounds of status calls.
	waitInterval = 250 * time.Millisecond
)

// waitFlags are the flags that select whether to wait until all hosts apply a change.
type waitFlags struct {
	wait    bool
	timeout time.Duration
	hosts   hostFlags
}

const waitFlagsHelp = `With --wait the command ends when every host that is not known to be dead has the
change in force.`

func (f *waitFlags) define(sc *flaggy.Subcommand) {
	f.timeout = defaultWait
	sc.Bool(&f.wait, "", "wait", "wait until the change is in force on all hosts")
	sc.Duration(&f.timeout, "", "timeout", "how long to wait")
	f.hosts.define(sc)
}

// run waits until all hosts apply a revision, if the flags ask for it.
func (f *waitFlags) run(ctx context.Context, streams Streams, store *storeFlags, revision domain.Revision) error {
	if !f.wait {
		return nil
	}
	hosts := &fleet{store: *store, hosts: f.hosts}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	var behind []hostState
	var lastErr error
	for {
		states, err := hosts.states(ctx)
		if err == nil {
			behind = hostsBehind(states, revision)
			if len(behind) == 0 {
				printf(streams.Out, "revision %d is in force on all %d hosts\n", revision, countNotDead(states))
				return nil
			}
		}
		if err != nil && ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return newNotAppliedError(revision, behind, lastErr)
		case <-time.After(waitInterval):
		}
	}
}

// countNotDead counts the hosts that are not known to be dead.
func countNotDead(states []hostState) int {
	n := 0
	for _, s := range states {
		if s.State != domain.MemberDead {
			n++
		}
	}
	return n
}

// hostsBehind returns the hosts that do not apply the revision yet and are not known
// to be dead.
func hostsBehind(states []hostState, revision domain.Revision) []hostState {
	var behind []hostState
	for _, s := range states {
		if s.Revision < revision && s.State != domain.MemberDead {
			behind = append(behind, s)
		}
	}
	return behind
}

func newNotAppliedError(revision domain.Revision, behind []hostState, err error) error {
	text := fmt.Sprintf("revision %d is accepted, but not yet in force on all hosts", revision)
	for _, s := range behind {
		text += fmt.Sprintf("; host %s has revision %d", s.Host, s.Revision)
	}
	if err != nil && len(behind) == 0 {
		text += fmt.Sprintf("; %v", err)
	}
	text += "; look at \"tables status\""
	return &Fault{Code: ExitNotInForce, Err: &notAppliedError{text: text}}
}

// notAppliedError means that a change was accepted, but not yet applied on all hosts.
type notAppliedError struct {
	text string
}

// Error implements error.
func (e *notAppliedError) Error() string { return e.text }
