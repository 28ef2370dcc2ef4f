package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/settings"
)

// settingsCommand returns the command that checks settings files.
func settingsCommand() *command {
	return &command{
		name:     "settings",
		summary:  "work on settings files",
		children: []*command{settingsCheckCommand()},
	}
}

func settingsCheckCommand() *command {
	var file string
	return &command{
		name:    "check",
		summary: "check a settings file and the files that it names",
		define: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&file, "FILE", 1, true, "the settings file")
		},
		run: func(_ context.Context, streams Streams) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			printf(streams.Out, "%s: ok: host %s in availability zone %s\n", file, s.Host.ID, s.Host.AvailabilityZone)
			return nil
		},
	}
}
