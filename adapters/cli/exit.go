package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/tables"
)

// ExitCode is the exit code of the program.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the request or edit was rejected or failed.
	ExitFailed ExitCode = 1
	// ExitUsage means wrong arguments, settings or tables. Nothing was started.
	ExitUsage ExitCode = 2
	// ExitConflict means that another operator has changed the row since it was
	// read.
	ExitConflict ExitCode = 3
	// ExitUnreachable means that the platform or host could not be reached.
	// Nothing was changed.
	ExitUnreachable ExitCode = 4
	// ExitUnknown means that the request or edit may or may not have taken effect.
	ExitUnknown ExitCode = 5
	// ExitNotInForce means that an edit was accepted, but not applied on all hosts
	// within the time to wait.
	ExitNotInForce ExitCode = 6
)

// exitHelp is the last part of every help text.
const exitHelp = `Exit codes: 0 ok; 1 refused or failed; 2 wrong arguments, settings or tables;
3 conflict with another edit; 4 platform or host unreachable; 5 outcome unknown;
6 accepted, but not yet in force on all hosts.`

// Fault is an error with the exit code of the program.
type Fault struct {
	Code ExitCode
	Err  error
}

// Error implements error.
func (f *Fault) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// usageError returns an error with the exit code for wrong arguments.
func usageError(format string, args ...any) *Fault {
	return &Fault{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) ExitCode {
	var fault *Fault
	var file *strictyaml.Error
	var row *tables.InvalidRowError
	var conflict *tables.ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fault):
		return fault.Code
	case errors.As(err, &file), errors.As(err, &row):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, ports.ErrStoreUnknown):
		return ExitUnknown
	case errors.Is(err, ports.ErrStoreDown), errors.Is(err, ports.ErrStoreThrottled):
		return ExitUnreachable
	}
	if refusal, ok := domain.AsRefusal(err); ok && refusal.Ran == domain.RanUnknown {
		return ExitUnknown
	}
	return ExitFailed
}

// report prints an error as one line.
func report(w io.Writer, err error) {
	if errors.Is(err, context.Canceled) {
		err = errors.New("interrupted")
	}
	printf(w, "greengagespoke: %s\n", oneLine(err.Error()))
}

// oneLine joins the lines of text into one.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

// serviceStatusError means that a plain service answered with an error status.
type serviceStatusError struct {
	status int
}

// Error implements error.
func (e *serviceStatusError) Error() string {
	return fmt.Sprintf("the service answered with status %d; its answer says why", e.status)
}
