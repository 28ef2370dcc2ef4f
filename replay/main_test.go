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
)

var (
	traceFile   = flag.String("trace-file", "", "trace to replay instead of those in testdata")
	policyNames = flag.String("policies", "greengagespoke", "comma-separated policies to run with -trace")
)

// TestMain makes "go test ./replay -trace FILE" replay FILE. The go command takes
// -trace for the output file of an execution trace, which would overwrite FILE.
func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
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
}

// replayTrace runs one trace in a bubble of its own.
func replayTrace(t *testing.T, trace *Trace, policy Policy) Result {
	t.Helper()
	var result Result
	synctest.Test(t, func(t *testing.T) {
		result = Run(t.Context(), trace, policy)
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
		fmt.Println(replayTrace(t, trace, policy).JSON())
	}
}
