package cli

// tablesCommand returns the command that reads and edits the two tables.
func tablesCommand() *command {
	return &command{
		name:    "tables",
		summary: "read and edit the routes and pools tables",
		children: []*command{
			tablesGetCommand(),
			tablesApplyCommand(),
			tablesEditCommand(),
			tablesHistoryCommand(),
			tablesStatusCommand(),
		},
	}
}
