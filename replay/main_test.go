package replay

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"k8s.io/klog/v2"

	"greengagespoke/keeper"
)

var (
	traceFile   = flag.String("trace-file", "", "trace to replay instead of those in testdata")
	logs        = flag.Bool("logs", false, "print the log lines of the hosts")
	policyNames = flag.String("policies", "greengagespoke", "comma-separated policies to run with -trace")
)

// TestMain makes "go test ./replay -trace FILE" replay FILE. The go command takes
// -trace for the output file of an execution trace, which would overwrite FILE.
func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	if !*logs {
		klog.SetOutput(io.Discard)
	} else {
		klog.SetOutput(os.Stderr)
	}
	if file := flag.Lookup("test.trace").Value.String(); isTraceFile(file) {
		if !filepath.IsAbs(file) {
			file = filepath.Join(flag.Lookup("test.outputdir").Value.String(), file)
		}
		setFlag("test.trace", "")
		setFlag("trace-file", file)
	}
	if *traceFile != "" {
		setFlag("test.run", "^TestTraceFile$")
	}
	os.Exit(m.Run())
}

func isTraceFile(file string) bool {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".yaml", ".yml", ".json":
		return true
	}
	return false
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// policies are the policies by name.
var policies = map[string]Policy{
	"greengagespoke": Gates{},
	"least-loaded":   LeastLoaded{},
	"fixed-shares":   FixedShares{},
	"oracle":         oracle{},
	"reserve":        Gates{Label: "reserve", Keeper: keeper.ReserveThenPrefill{}},
	"just-in-time":   Gates{Label: "just-in-time", Keeper: keeper.JustInTime{}},
}

// replayTrace runs one trace in a bubble of its own. Policies that only give a
// goodput to compare with are not run beyond the arrivals.
func replayTrace(t *testing.T, trace *Trace, policy Policy) Result {
	t.Helper()
	run := RunWindow
	if _, real := policy.(Gates); real {
		run = Run
	}
	var result Result
	synctest.Test(t, func(t *testing.T) {
		result = run(t.Context(), trace, policy)
	})
	return result
}

// TestTraceFile replays the trace that -trace names and prints its measures as
// one line of JSON for each policy.
func TestTraceFile(t *testing.T) {
	if *traceFile == "" {
		t.Skip("no -trace given")
	}
	trace, err := Load(*traceFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Split(*policyNames, ",") {
		policy, ok := policies[name]
		if !ok {
			t.Fatalf("unknown policy %q", name)
		}
		result := replayTrace(t, trace, policy)
		fmt.Println(result.JSON())
		for _, problem := range result.Problems {
			t.Log(problem)
		}
		if *logs {
			t.Log(result.Counters)
		}
	}
}
