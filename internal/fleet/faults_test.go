package fleet

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	// loadBefore is how long the load runs before the first fault.
	loadBefore = 3 * time.Second
	// faultOffset separates the two faults of a pair.
	faultOffset = 1500 * time.Millisecond
	// loadAfter is how long the load runs after the last fault was mended.
	loadAfter = 5 * time.Second
)

// seedOffset walks other runs than those of CI.
var seedOffset = flag.Uint64("seed-offset", 0, "number that is added to all seeds")

// runFaults runs faults under load, one shortly after the other, and checks the
// promises.
func runFaults(t *testing.T, seed uint64, faults ...Fault) {
	t.Helper()
	seed += *seedOffset
	cfg := Config{Hosts: 6, Prefill: 3, Decode: 6, Services: 3, Seed: seed}
	runFleet(t, cfg, func(ctx context.Context, f *Fleet, book *Book) {
		loadCtx, stop := context.WithCancel(ctx)
		var load, all sync.WaitGroup
		load.Go(func() { f.Load(loadCtx, book) })
		time.Sleep(loadBefore)
		for i, fault := range faults {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			all.Go(func() {
				book.Event("%s begins", fault.Name)
				fault.Run(ctx, f, book, rng)
				book.Event("%s is mended", fault.Name)
			})
			time.Sleep(faultOffset)
		}
		all.Wait()
		f.checkEdit(ctx, book)
		time.Sleep(loadAfter)
		stop()
		load.Wait()
	})
}

// checkEdit makes an edit and checks that it gets into force.
func (f *Fleet) checkEdit(ctx context.Context, book *Book) {
	base, route, err := f.currentRoute(ctx)
	if err != nil {
		book.Problem("read of the tables after the faults: %v", err)
		return
	}
	route.MaxWaitingPerCaller += 10
	change, err := f.Edit(ctx, "after-the-faults", "routes", draftsRoute, route, base)
	if err != nil {
		book.Problem("edit after the faults: %v", err)
		return
	}
	f.CheckInForce(book, change.Revision)
}

func TestEachFaultAlone(t *testing.T) {
	for i, fault := range Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, uint64(100+i), fault)
		})
	}
}

// racePairs is how many pairs there are for each one that the race detector walks,
// as it makes a pair many times as slow.
const racePairs = 6

// TestFaultsInPairs walks all pairs, but under the race detector; .ci/run walks all of
// them without it.
func TestFaultsInPairs(t *testing.T) {
	all := Faults()
	for i, first := range all {
		for j, second := range all[i:] {
			if raceEnabled && (i+j)%racePairs != 0 {
				continue
			}
			t.Run(first.Name+"+"+second.Name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, uint64(1000+100*i+j), first, second)
			})
		}
	}
}
