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

// prefillEngines simulates prefill engines. Each processes one prompt at a time, and
// all its queued prompts are in its memory.
type prefillEngines struct {
	mu         sync.Mutex
	busyUntil  map[domain.UpstreamID]time.Time
	usedTokens map[domain.UpstreamID]int
}

const (
	prefillTime  = 96 * time.Millisecond
	promptTokens = 3000
	engineDelay  = 5 * time.Millisecond
	engineCount  = 8
	hostCount    = 16
)

func (e *prefillEngines) reserveIdle(up *traffic.Upstream, tokens int) error {
	time.Sleep(engineDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usedTokens[up.ID]+tokens > testMemory {
		return errRejected
	}
	return nil
}

func (e *prefillEngines) prefill(up *traffic.Upstream) error {
	time.Sleep(engineDelay)
	e.mu.Lock()
	now := time.Now()
	end := now
	if e.busyUntil[up.ID].After(now) {
		end = e.busyUntil[up.ID]
	}
	end = end.Add(prefillTime)
	e.busyUntil[up.ID] = end
	e.usedTokens[up.ID] += promptTokens
	e.mu.Unlock()
	time.Sleep(end.Sub(now))
	e.mu.Lock()
	e.usedTokens[up.ID] -= promptTokens
	e.mu.Unlock()
	return nil
}

// Many hosts share a few prefill engines and do not know of each other's prompts. At
// a utilization of two thirds, nine of ten prompts must not be queued for longer than
// their prefill takes.
func TestHostsFindIdlePrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 1200
		gap := prefillTime * 3 / (2 * engineCount)
		engines := &prefillEngines{busyUntil: make(map[domain.UpstreamID]time.Time), usedTokens: make(map[domain.UpstreamID]int)}
		gates, upstreams := newGates(t, engines)
		draw := rand.New(rand.NewPCG(3, 5))
		var mu sync.Mutex
		var durations []time.Duration
		upstreams.prefill = func(up *traffic.Upstream) error {
			began := time.Now()
			err := engines.prefill(up)
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, time.Since(began))
			return err
		}
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() { gates[i%hostCount].Serve(context.Background(), newRequest("/draft/x"), &fakeCaller{}) })
			time.Sleep(time.Duration(draw.ExpFloat64() * float64(gap)))
		}
		wg.Wait()
		slices.Sort(durations)
		limit := 2*prefillTime + engineDelay
		ninetieth := durations[len(durations)*9/10]
		t.Logf("half of the prompts were prefilled in %s, nine of ten in %s", durations[len(durations)/2], ninetieth)
		if ninetieth > limit {
			t.Fatalf("nine of ten prompts were prefilled in %s, want at most %s", ninetieth, limit)
		}
	})
}

// newGates returns the gates of several hosts in front of the same engines.
func newGates(t *testing.T, engines *prefillEngines) ([]*Gate, *fakeUpstreams) {
	t.Helper()
	f := newFixture(t, hostCount)
	for i := range engineCount - 2 {
		f.add(domain.UpstreamID(fmt.Sprintf("f%d", i+3)), testService, domain.RolePrefill)
	}
	f.fakeUpstreams.reserveIdle = engines.reserveIdle
	gates := make([]*Gate, hostCount)
	for i := range gates {
		gates[i] = newTestGate(f, f.catalog, hostCount)
	}
	return gates, f.fakeUpstreams
}
