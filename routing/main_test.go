package routing

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes property tests draw the same values on every run.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
