// Command soak injects seeded random faults into entry hosts that run as separate
// processes on this machine, and checks what callers and upstreams observe. Run it
// with --help for its options.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/soak"
)

func main() {
	options := soak.Options{Binary: "target/greengagespoke", Hosts: 4, Callers: 8}
	seed, count, seconds := 1, 1, 10
	flaggy.SetName("soak")
	flaggy.SetDescription("Plays seeded faults against entry hosts that run as separate processes.")
	flaggy.String(&options.Binary, "", "binary", "the program under test")
	flaggy.String(&options.Beside, "", "beside", "another build of the program, which every second host runs at first")
	flaggy.String(&options.Dir, "", "dir", "a directory for settings and logs; a temporary one by default")
	flaggy.Int(&seed, "", "seed", "the first seed; one seed decides a run")
	flaggy.Int(&count, "", "seeds", "the number of seeds to play")
	flaggy.Int(&seconds, "", "seconds", "the length of the faults of a run")
	flaggy.Int(&options.Hosts, "", "hosts", "the number of hosts, 2 to 200")
	flaggy.Int(&options.Callers, "", "callers", "the number of callers")
	flaggy.Parse()
	os.Exit(runSeeds(options, seed, count, seconds))
}

// runSeeds runs the seeds and returns the exit code: 1 if a run had findings, 2 if
// the options are invalid or a run failed.
func runSeeds(options soak.Options, seed, count, seconds int) int {
	if options.Hosts < 2 || options.Hosts > 200 || count < 1 || seconds < 1 || options.Callers < 1 {
		fmt.Fprintln(os.Stderr, "soak: --hosts must be 2 to 200; --seeds, --seconds and --callers at least 1")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options.Length = time.Duration(seconds) * time.Second
	code := 0
	for i := 0; i < count && ctx.Err() == nil; i++ {
		options.Seed = uint64(seed + i)
		report, err := runSeed(ctx, options)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 2
		}
		fmt.Printf("%d/%d %s\n", i+1, count, report)
		if len(report.Findings) > 0 {
			code = 1
		}
	}
	return code
}

// runSeed runs one seed. It removes the directory of the run unless the directory was
// given as an option, the run failed or the run had findings.
func runSeed(ctx context.Context, options soak.Options) (soak.Report, error) {
	temporary := options.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return soak.Report{}, err
		}
		options.Dir = dir
	}
	report, err := soak.Run(ctx, options)
	if temporary && err == nil && len(report.Findings) == 0 {
		err = os.RemoveAll(options.Dir)
	} else if temporary {
		fmt.Println("logs are in", options.Dir)
	}
	return report, err
}
