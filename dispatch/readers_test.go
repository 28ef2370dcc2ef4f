package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// readingEngines is a model of prefill engines: each reads one prompt after the
// other, and all that wait are in its memory.
type readingEngines struct {
	mu     sync.Mutex
	free   map[domain.UpstreamID]time.Time
	tokens map[domain.UpstreamID]int
}

const (
	readTime     = 96 * time.Millisecond
	readPrompt   = 3000
	engineDelay  = 5 * time.Millisecond
	readEngines  = 8
	readingHosts = 16
)

func (e *readingEngines) idle(up *traffic.Upstream, tokens int) error {
	time.Sleep(engineDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tokens[up.ID]+tokens > testMemory {
		return errRejected
	}
	return nil
}

func (e *readingEngines) prefill(up *traffic.Upstream) error {
	time.Sleep(engineDelay)
	e.mu.Lock()
	now := time.Now()
	end := now
	if e.free[up.ID].After(now) {
		end = e.free[up.ID]
	}
	end = end.Add(readTime)
	e.free[up.ID] = end
	e.tokens[up.ID] += readPrompt
	e.mu.Unlock()
	time.Sleep(end.Sub(now))
	e.mu.Lock()
	e.tokens[up.ID] -= readPrompt
	e.mu.Unlock()
	return nil
}

// Many hosts share a few prefill engines and do not know of each other's prompts.
// At two thirds of the engines' time, nine of ten prompts must not wait for longer
// than it takes to read them.
func TestHostsFindIdlePrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 1200
		gap := readTime * 3 / (2 * readEngines)
		engines := &readingEngines{free: make(map[domain.UpstreamID]time.Time), tokens: make(map[domain.UpstreamID]int)}
		gates, world := readingGates(t, engines)
		draw := rand.New(rand.NewPCG(3, 5))
		var mu sync.Mutex
		var took []time.Duration
		world.prefill = func(up *traffic.Upstream) error {
			began := time.Now()
			err := engines.prefill(up)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			return err
		}
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() { gates[i%readingHosts].Serve(context.Background(), newRequest("/draft/x"), &fakeCaller{}) })
			time.Sleep(time.Duration(draw.ExpFloat64() * float64(gap)))
		}
		wg.Wait()
		slices.Sort(took)
		limit := 2*readTime + engineDelay
		late := took[len(took)*9/10]
		t.Logf("half of the prompts were read in %s, nine of ten in %s", took[len(took)/2], late)
		if late > limit {
			t.Fatalf("nine of ten prompts were read in %s, want at most %s", late, limit)
		}
	})
}

// readingGates returns the gates of several hosts before the same engines.
func readingGates(t *testing.T, engines *readingEngines) ([]*Gate, *world) {
	t.Helper()
	f := newFixture(t, readingHosts)
	for i := range readEngines - 2 {
		f.add(domain.UpstreamID(fmt.Sprintf("f%d", i+3)), testService, domain.RolePrefill)
	}
	f.world.idle = engines.idle
	gates := make([]*Gate, readingHosts)
	for i := range gates {
		gates[i] = newTestGate(f, f.catalog, readingHosts)
	}
	return gates, f.world
}
