package cli

import (
	"context"
	"encoding/json"

	"github.com/integrii/flaggy"
)

// entrypointsCommand returns the command that asks a host which addresses a caller
// should use.
func entrypointsCommand() *command {
	flags := new(hostFlags)
	asJSON := false
	return &command{
		name:    "entrypoints",
		summary: "ask a host which addresses a caller should use, best first",
		help:    hostFlagsHelp,
		define: func(sc *flaggy.Subcommand) {
			flags.define(sc)
			sc.Bool(&asJSON, "", "json", "print JSON")
		},
		run: func(ctx context.Context, streams Streams) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			answer, err := client.EntryPoints(ctx)
			if err != nil {
				return callerFault(err)
			}
			if asJSON {
				return json.NewEncoder(streams.Out).Encode(answer)
			}
			for _, p := range answer.Addresses {
				printf(streams.Out, "%s\t%s\t%s\n", p.Address, p.Host, p.Zone)
			}
			printf(streams.Out, "keep for %s\n", answer.MaxAge.D())
			return nil
		},
	}
}
