package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

const (
	// Mean times between two requests of each kind.
	draftGap   = 100 * time.Millisecond
	closureGap = 200 * time.Millisecond
	// cancelPercent is how many in 100 drafts are given up by their caller.
	cancelPercent = 10
	// longPercent is how many in 100 of the other drafts have a long answer.
	longPercent = 30
	percent     = 100
	promptLines = 100
	promptLine  = "Station, azimuth, slope and distance of one survey leg. "
)

// callerNames are the firms that share the fleet.
var callerNames = []domain.CallerID{"firm-a", "firm-b", "firm-c"}

// Load sends drafts and closures at random times until ctx is done, then waits
// for their outcomes.
func (f *Fleet) Load(ctx context.Context, book *Book) {
	var wg sync.WaitGroup
	wg.Go(func() { f.sendDrafts(ctx, book, &wg) })
	wg.Go(func() { f.sendClosures(ctx, book, &wg) })
	wg.Wait()
}

func (f *Fleet) sendDrafts(ctx context.Context, book *Book, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 1))
	for n := 1; pauseRandomly(ctx, rng, draftGap); n++ {
		prompt := fmt.Sprintf("Draft %d. %s", n, strings.Repeat(promptLine, 1+rng.IntN(promptLines)))
		caller := callerNames[rng.IntN(len(callerNames))]
		var leaveAfter time.Duration
		if rng.IntN(percent) < cancelPercent {
			leaveAfter = time.Duration(rng.IntN(3000)) * time.Millisecond
		}
		if leaveAfter > 0 || rng.IntN(percent) < longPercent {
			prompt = longMark + prompt
		}
		wg.Go(func() {
			draftCtx := context.WithoutCancel(ctx)
			if leaveAfter > 0 {
				var cancel context.CancelFunc
				draftCtx, cancel = context.WithTimeout(draftCtx, leaveAfter)
				defer cancel()
			}
			f.Draft(draftCtx, book, caller, n, prompt)
		})
	}
}

func (f *Fleet) sendClosures(ctx context.Context, book *Book, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 2))
	for n := 1; pauseRandomly(ctx, rng, closureGap); n++ {
		caller := callerNames[rng.IntN(len(callerNames))]
		wg.Go(func() { f.Closure(context.WithoutCancel(ctx), book, caller, n) })
	}
}

// pauseRandomly waits for an exponentially distributed time and returns false
// where ctx ended first.
func pauseRandomly(ctx context.Context, rng *rand.Rand, mean time.Duration) bool {
	timer := pause.NewTimer(time.Duration(rng.ExpFloat64() * float64(mean)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
