package routing

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed fixes the random seed, so that property tests are reproducible.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
