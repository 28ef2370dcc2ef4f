package cli

import (
	"context"
	"flag"
	"strconv"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"greengagespoke/adapters/settings"
	"greengagespoke/entry"
)

// entryCommand returns the command that runs one entry host.
func entryCommand() *command {
	var file string
	return &command{
		name:    "entry",
		summary: "run one entry host",
		help: `SIGTERM or SIGINT makes a planned stop: the host announces that it leaves, keeps
serving while callers may still use its address, then refuses new work and ends
when every request in flight has ended. A second signal ends the process at once.`,
		define: func(sc *flaggy.Subcommand) {
			sc.String(&file, "", "settings", "the settings file of this host")
		},
		run: func(ctx context.Context, _ Streams) error {
			if file == "" {
				return usageError("the settings file is missing; name it with --settings FILE")
			}
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if err := setVerbosity(s.Log.Verbosity); err != nil {
				return err
			}
			daemon, err := entry.New(s)
			if err != nil {
				return err
			}
			return daemon.Run(ctx)
		},
	}
}

// setVerbosity sets the klog verbosity level.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
