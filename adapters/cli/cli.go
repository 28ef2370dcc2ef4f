package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is one subcommand. A command with children has no action of its own.
type command struct {
	name, summary string
	// help is shown below the flags.
	help string
	// define adds the flags and positional arguments.
	define func(*flaggy.Subcommand)
	// run executes the command. SIGINT and SIGTERM cancel the context.
	run      func(context.Context, Streams) error
	children []*command
}

// commands returns all subcommands.
func commands() []*command {
	return []*command{
		entryCommand(),
		serveCommand(),
		tablesCommand(),
		entrypointsCommand(),
		callCommand(),
		statusCommand(),
		explainCommand(),
		standinCommand(),
		demoCommand(),
		settingsCommand(),
		versionCommand(),
	}
}

// Main runs the program with the given arguments, which exclude the program's name,
// and returns its exit code.
func Main(args []string, streams Streams) ExitCode {
	chosen, err := parse(args)
	if err != nil {
		report(streams.Err, err)
		return exitCode(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal terminates the process immediately.
	context.AfterFunc(ctx, stop)
	if err := chosen.run(ctx, streams); err != nil {
		report(streams.Err, err)
		return exitCode(err)
	}
	return ExitOK
}

// parse returns the command that the arguments select. For help, --version and
// unknown arguments the flag library exits the process.
func parse(args []string) (*command, error) {
	parser := flaggy.NewParser("greengagespoke")
	parser.Description = "A router for separate prefill and decode pools."
	parser.AdditionalHelpPrepend = parser.Name
	parser.AdditionalHelpAppend = exitHelp
	parser.ShowCompletion = false
	// The library mistakes the subcommand "version" for the flag.
	parser.ShowVersionWithVersionFlag = false
	if err := parser.SetHelpTemplate(helpTemplate); err != nil {
		return nil, eris.Wrap(err, "the help template is broken")
	}
	used := make(map[*flaggy.Subcommand]*command)
	attach(&parser.Subcommand, commands(), used)
	if len(args) == 1 && args[0] == "--version" {
		args = []string{"version"}
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, usageError("%w; run with --help for the arguments", err)
	}
	chosen, ok := used[parser.TrailingSubcommand()]
	if !ok || chosen.run == nil {
		parser.ShowHelpAndExit("name a subcommand")
	}
	return chosen, nil
}

func attach(parent *flaggy.Subcommand, children []*command, used map[*flaggy.Subcommand]*command) {
	for _, c := range children {
		sub := flaggy.NewSubcommand(c.name)
		sub.Description = c.summary
		sub.AdditionalHelpPrepend = parent.AdditionalHelpPrepend + " " + c.name
		sub.AdditionalHelpAppend = joinHelp(c.help)
		if c.define != nil {
			c.define(sub)
		}
		parent.AttachSubcommand(sub, 1)
		used[sub] = c
		attach(sub, c.children, used)
	}
}

func joinHelp(help string) string {
	if help == "" {
		return exitHelp
	}
	return help + "\n\n" + exitHelp
}

// printf writes to a standard stream. It ignores write errors, which cannot be
// reported anywhere.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
