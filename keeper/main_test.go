package keeper

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of generated cases, so that their
// result is the same in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4711", "rapid.checks": "150", "rapid.steps": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
