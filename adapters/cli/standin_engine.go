package cli

import (
	"context"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/enginehttp"
	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
	"greengagespoke/standin/engine"
)

// engineFlags are the flags of a model engine's stand-in.
type engineFlags struct {
	listen         string
	id             string
	zone           string
	role           string
	model          string
	slots          int
	pieces         int
	prefillRate    int
	step           time.Duration
	resultLifetime time.Duration
	checksFencing  bool
}

func standinEngineCommand() *command {
	flags := &engineFlags{listen: "127.0.0.1:7400", zone: "zone-1", role: string(domain.RoleDecode)}
	return &command{
		name:    "engine",
		summary: "serve a model engine",
		help: `Values that are left out take the stand-in's defaults. A prompt that contains
` + engine.PoisonMarker + ` crashes the engine.`,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *engineFlags) define(sc *flaggy.Subcommand) {
	sc.String(&f.listen, "", "listen", "IP:PORT to listen on; port 0 takes a free one")
	sc.String(&f.id, "", "id", "name of the upstream, as in the pools table (required)")
	sc.String(&f.zone, "", "zone", "availability zone")
	sc.String(&f.role, "", "role", "prefill or decode")
	sc.String(&f.model, "", "model", "model to serve; empty accepts all")
	sc.Int(&f.slots, "", "slots", "requests at a time")
	sc.Int(&f.pieces, "", "pieces", "KV cache memory in pieces of 1,024 tokens")
	sc.Int(&f.prefillRate, "", "prefill-rate", "prompt tokens a second")
	sc.Duration(&f.step, "", "step", "time of one decode step, such as 30ms")
	sc.Duration(&f.resultLifetime, "", "result-lifetime", "how long a prefill result lives, such as 800ms")
	sc.Bool(&f.checksFencing, "", "checks-fencing", "refuse orders with an old fencing number")
}

func (f *engineFlags) run(ctx context.Context, streams Streams) error {
	if f.id == "" {
		return usageError("--id is missing; name the upstream as in the pools table")
	}
	role := domain.Role(f.role)
	if role != domain.RolePrefill && role != domain.RoleDecode {
		return usageError("--role: %q is not a role; write prefill or decode", f.role)
	}
	e := engine.New(engine.Config{
		Upstream: domain.Upstream{
			ID:          domain.UpstreamID(f.id),
			Zone:        domain.Zone(f.zone),
			Address:     f.listen,
			Role:        role,
			Slots:       f.slots,
			Pieces:      f.pieces,
			PrefillRate: f.prefillRate,
		},
		Model:          f.model,
		StepBase:       f.step,
		ResultLifetime: f.resultLifetime,
		ChecksFencing:  f.checksFencing,
		Remote:         fetchResult,
	})
	defer e.Close()
	return listenAndServe(ctx, streams, "engine "+f.id, f.listen, enginehttp.Handler(e))
}

// resultClient fetches prefill results from engines in other processes.
var resultClient = &http.Client{Transport: httplimit.Transport(http.DefaultTransport.(*http.Transport).Clone())}

// fetchResult fetches a prefill result from an engine in another process.
func fetchResult(ctx context.Context, source domain.Upstream, handle string) ([]byte, error) {
	return enginehttp.NewClient(source, resultClient).Export(ctx, handle)
}
