package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/traffic"
)

// growingEngine is a model of a decode engine's memory. A reservation counts in
// full until its request starts and as the least that the request holds after
// that. Requests grow as they run; when memory runs out the newest is preempted.
type growingEngine struct {
	mu        sync.Mutex
	capacity  int
	pending   int
	runs      []*growingRun
	preempted int
}

type growingRun struct {
	reserved, prompt, output int
	began                    time.Time
	length                   time.Duration
}

func (r *growingRun) used(now time.Time) int {
	grown := float64(r.output) * min(1, now.Sub(r.began).Seconds()/r.length.Seconds())
	return max(r.reserved, r.prompt+int(grown))
}

func (e *growingEngine) use(now time.Time) int {
	total := e.pending
	for _, r := range e.runs {
		total += r.used(now)
	}
	return total
}

func (e *growingEngine) reserve(_ *traffic.Upstream, tokens int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.use(time.Now())+tokens > e.capacity {
		return errRejected
	}
	e.pending += tokens
	return nil
}

func (e *growingEngine) drop(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending -= tokens
}

// serve runs a request to its end.
func (e *growingEngine) serve(r *growingRun) {
	e.mu.Lock()
	e.pending -= r.reserved
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	for time.Since(r.began) < r.length {
		time.Sleep(50 * time.Millisecond)
		e.mu.Lock()
		for now := time.Now(); e.use(now) > e.capacity; {
			e.preempted++
			newest := e.runs[len(e.runs)-1]
			// It starts again when there is memory; the model lets it end at once.
			newest.output, newest.prompt, newest.reserved = 0, 0, 0
			e.runs = e.runs[:len(e.runs)-1]
		}
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.runs {
		if other == r {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}

// Outputs differ much from their hints. Reserving the whole estimate leaves memory
// idle, reserving none of it preempts. The load asks for a tenth more than fits.
func TestPlacesUseMemoryAndPreemptRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			requests  = 240
			gap       = 200 * time.Millisecond
			perToken  = 3300 * time.Microsecond
			meanUse   = 3000 + 400 + 300
			memory    = 42754
			hintError = 0.5
		)
		engine := &growingEngine{capacity: memory}
		f := newFixture(t, 1)
		f.reserve = engine.reserve
		f.world.dropped = engine.drop
		draw := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		var mu sync.Mutex
		onTime := 0
		f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			mu.Lock()
			output := int(min(2080, 660*math.Exp(0.6*draw.NormFloat64())))
			mu.Unlock()
			run := &growingRun{
				reserved: opts.Reservation.Tokens, prompt: 3000, output: output,
				began: time.Now(), length: time.Duration(output) * perToken,
			}
			return &slowStream{fakeStream: newFakeStream(1, nil), done: func() { engine.serve(run) }}, nil
		}
		for range requests {
			wg.Go(func() {
				mu.Lock()
				req := newRequest("/draft/x")
				req.OutputHint = int(660 * math.Exp(hintError*draw.NormFloat64()))
				mu.Unlock()
				caller := &fakeCaller{}
				caller.onStart = func() {
					if time.Since(req.Arrived) <= time.Second {
						mu.Lock()
						onTime++
						mu.Unlock()
					}
				}
				f.gate.Serve(context.Background(), req, caller)
			})
			time.Sleep(gap)
		}
		wg.Wait()
		// Full memory at the mean use serves this many in the time of the load.
		fit := float64(memory) / meanUse * float64(requests) * gap.Seconds() / (760 * perToken.Seconds())
		fit = min(fit, requests)
		t.Logf("%d on time of %.0f that fit, %d preempted", onTime, fit, engine.preempted)
		if float64(onTime) < 0.85*fit || engine.preempted > requests/25 {
			t.Fatalf("%d on time of %.0f that fit (want 0.85), %d preempted (want at most %d)",
				onTime, fit, engine.preempted, requests/25)
		}
	})
}
