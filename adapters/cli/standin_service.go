package cli

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/servicehttp"
	"greengagespoke/domain"
	"greengagespoke/standin/service"
)

// serviceFlags are the flags of a plain service's stand-in.
type serviceFlags struct {
	listen            string
	id                string
	latency           time.Duration
	checksKey         bool
	lostAnswerPercent int
}

func standinServiceCommand() *command {
	flags := &serviceFlags{listen: "127.0.0.1:7500"}
	return &command{
		name:    "service",
		summary: "serve a plain service",
		help:    "Each answer says how often a call with its idempotency key has run.",
		define:  flags.define,
		run:     flags.run,
	}
}

func (f *serviceFlags) define(sc *flaggy.Subcommand) {
	sc.String(&f.listen, "", "listen", "IP:PORT to listen on; port 0 takes a free one")
	sc.String(&f.id, "", "id", "name of the upstream, as in the pools table (required)")
	sc.Duration(&f.latency, "", "latency", "time from a call to its answer, such as 20ms")
	sc.Bool(&f.checksKey, "", "checks-key", "answer a known idempotency key without running the call again")
	sc.Int(&f.lostAnswerPercent, "", "lost-answer-percent", "how many in 100 answers are lost after the call ran")
}

func (f *serviceFlags) run(ctx context.Context, streams Streams) error {
	if f.id == "" {
		return usageError("--id is missing; name the upstream as in the pools table")
	}
	s := service.New(service.Config{
		Upstream:          domain.Upstream{ID: domain.UpstreamID(f.id), Address: f.listen, Role: domain.RoleService},
		Latency:           f.latency,
		ChecksKey:         f.checksKey,
		LostAnswerPercent: f.lostAnswerPercent,
	})
	return listenAndServe(ctx, streams, "service "+f.id, f.listen, servicehttp.Handler(s))
}
