package cli

// helpTemplate renders the help of a command, or one line if the library reports
// wrong arguments.
const helpTemplate = `{{if .Message}}greengagespoke: {{.Message}}; run with --help for the arguments
{{else}}{{.Description}}

Usage:
  {{.PrependMessage}}{{if .Subcommands}} SUBCOMMAND{{end}}{{range .Positionals}} {{if .Required}}{{.Name}}{{else}}[{{.Name}}]{{end}}{{end}}{{if .Flags}} [flags]{{end}}
{{if .Subcommands}}
Subcommands:
{{range .Subcommands}}  {{.LongName}}{{.Spacer}}  {{.Description}}
{{end}}{{end}}{{if .Positionals}}
Arguments:
{{range .Positionals}}  {{.Name}}{{.Spacer}}  {{.Description}}
{{end}}{{end}}{{if .Flags}}
Flags:
{{range .Flags}}  {{.LongDisplay}}  {{.Description}}{{if .DefaultValue}} (default: {{.DefaultValue}}){{end}}
{{end}}{{end}}
{{.AppendMessage}}
{{end}}`
