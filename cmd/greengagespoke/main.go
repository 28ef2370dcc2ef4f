// Command greengagespoke routes requests to separate prefill and decode pools and to
// plain services. Run it with --help for its subcommands.
package main

import (
	"os"

	"greengagespoke/adapters/cli"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(cli.Main(os.Args[1:], streams)))
}
