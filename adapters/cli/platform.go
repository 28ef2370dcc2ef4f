package cli

import (
	"context"
	"flag"
	"os"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"greengagespoke/adapters/logging"
	"greengagespoke/platform/settings"
	"greengagespoke/platformentry"
)

// serveCommand returns the command that runs one entry host on the users' platform.
func serveCommand() *command {
	file := os.Getenv(settings.PathVariable)
	metricsPort := 0
	verbosity := 0
	return &command{
		name:    "serve",
		summary: "run one entry host on the users' platform",
		help: `The platform's settings file says where the host listens and where the store is.
SIGTERM or SIGINT makes a planned stop. Logs go to standard output.`,
		define: func(sc *flaggy.Subcommand) {
			sc.String(&file, "", "settings", "the settings file, by default that of "+settings.PathVariable)
			sc.Int(&metricsPort, "", "metrics-port", "the port on which counters are shown; 0 for none")
			sc.Int(&verbosity, "", "verbosity", "how much the log says, 0 to 2")
		},
		run: func(ctx context.Context, streams Streams) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			stop, err := logTo(streams, verbosity)
			if err != nil {
				return err
			}
			defer stop()
			return platformentry.New(s, metricsPort).Run(ctx)
		},
	}
}

// logTo redirects the log to standard output. A slow reader of the output never
// blocks the program.
func logTo(streams Streams, verbosity int) (stop func(), err error) {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "v": strconv.Itoa(verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return nil, eris.Wrapf(err, "set the log option %s", name)
		}
	}
	writer := logging.NewWriter(streams.Out)
	klog.SetOutput(writer)
	return writer.Close, nil
}
