package cli

// standinCommand returns the command that runs stand-ins for external systems.
func standinCommand() *command {
	return &command{
		name:    "standin",
		summary: "run a stand-in of the platform, a model engine or a plain service",
		help: `Stand-ins are for trying things out on one machine. They keep everything in
memory and end with SIGTERM.`,
		children: []*command{standinPlatformCommand(), standinEngineCommand(), standinServiceCommand()},
	}
}
