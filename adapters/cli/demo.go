package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"greengagespoke/demo"
)

// errGuaranteeViolated means that the demo found a violated guarantee.
var errGuaranteeViolated = errors.New("a promise was broken; see the report")

// demoFlags are the flags of the demo.
type demoFlags struct {
	seconds int
	hosts   int
	json    bool
}

// demoCommand returns the command that runs a whole deployment in this process.
func demoCommand() *command {
	flags := &demoFlags{seconds: demo.DefaultSeconds, hosts: demo.DefaultHosts}
	return &command{
		name:    "demo",
		summary: "run stand-ins, entry hosts and a load on loopback, and report",
		help: `Midway one decode engine is killed and one host is stopped gracefully. Exit code 1
means that something was answered twice, doubled, lost or left held.`,
		define: func(sc *flaggy.Subcommand) {
			sc.Int(&flags.seconds, "", "seconds", "length of the load in seconds")
			sc.Int(&flags.hosts, "", "hosts", "number of entry hosts, at least 3")
			sc.Bool(&flags.json, "", "json", "print the report as one JSON object")
		},
		run: flags.run,
	}
}

func (f *demoFlags) run(ctx context.Context, streams Streams) error {
	if f.seconds < 1 || f.hosts < demo.MinHosts {
		return usageError("the demo needs --seconds of at least 1 and --hosts of at least %d", demo.MinHosts)
	}
	progress := func(line string) { printf(streams.Out, "%s\n", line) }
	if f.json {
		progress = func(string) {}
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	report, err := demo.Run(ctx, demo.Options{Seconds: f.seconds, Hosts: f.hosts}, progress)
	if err != nil {
		return err
	}
	if err := f.print(streams.Out, report); err != nil {
		return err
	}
	if !report.OK() {
		return errGuaranteeViolated
	}
	return nil
}

func (f *demoFlags) print(w io.Writer, r *demo.Report) error {
	if f.json {
		return json.NewEncoder(w).Encode(r)
	}
	printf(w, "\nrequests sent            %d\n", r.Sent)
	printf(w, "answered in full         %d\n", r.Answered)
	printf(w, "given up by the caller   %d\n", r.GivenUp)
	printf(w, "refused                  %d\n", r.Refused)
	for _, kind := range slices.Sorted(maps.Keys(r.RefusedByKind)) {
		printf(w, "  %-22s %d\n", kind, r.RefusedByKind[kind])
	}
	printf(w, "answered twice           %d\n", r.AnsweredTwice)
	printf(w, "calls doubled            %d\n", r.Doubled)
	printf(w, "lost                     %d\n", r.Lost)
	printf(w, "first token p50, p95     %.0f ms, %.0f ms\n", r.TTFTP50MS, r.TTFTP95MS)
	printf(w, "between tokens p50, p95  %.0f ms, %.0f ms\n", r.TBTP50MS, r.TBTP95MS)
	printf(w, "goodput                  %.1f answers/s within both targets\n", r.Goodput)
	printf(w, "wasted prefill           %.2f%%\n", r.WastedPrefill)
	printf(w, "grants left held         %d\n", r.GrantsLeft)
	return nil
}
