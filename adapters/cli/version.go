package cli

import (
	"context"
	"runtime"
	"runtime/debug"
)

// versionCommand returns the command that prints the version of the program.
func versionCommand() *command {
	return &command{
		name:    "version",
		summary: "print the version",
		run: func(_ context.Context, streams Streams) error {
			printf(streams.Out, "greengagespoke %s %s\n", version(), runtime.Version())
			return nil
		},
	}
}

// version returns the module version or the commit that the program was built from,
// or "development" if the build has neither.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "development"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return "development"
}
