package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	unevenEngines = 30
	unevenHosts   = 10
	unevenStreams = 2400
	unevenEvents  = 20
	// unevenGap is the time between two events of an engine of speed 1: 68 tokens of 25 ms as 20 events.
	unevenGap = 85 * time.Millisecond
	// An engine is slowBy slower for a share of the time, drawn anew each redraw.
	slowBy, slowShare = 2.5, 0.15
	redraw            = 600 * time.Millisecond
	unevenSlots       = 4
	// unevenMeanGap is the time between two requests, at a quarter of the slots.
	unevenMeanGap = 62 * time.Millisecond
)

// unevenEngine is a decode engine with a speed of its own and slow moments.
type unevenEngine struct {
	speed   float64
	index   int
	active  int
	streams int
}

func (e *unevenEngine) gap(now time.Time) time.Duration {
	// The same draw for the same engine and period.
	draw := rand.New(rand.NewPCG(uint64(e.index), uint64(now.UnixNano()/int64(redraw)))).Float64()
	gap := float64(unevenGap) / e.speed
	if draw < slowShare {
		gap *= slowBy
	}
	return time.Duration(gap)
}

// unevenStream sends its events at the pace of its engine.
type unevenStream struct {
	*fakeStream
	engine *unevenEngine
}

func (s *unevenStream) Next(wait time.Duration) (traffic.Event, error) {
	if s.next <= s.last {
		time.Sleep(s.engine.gap(time.Now()))
	}
	return s.fakeStream.Next(wait)
}

type unevenResult struct {
	// fast is the share of streams at the engines of the highest speed, in the second half.
	fast, rejected, mean float64
}

// playUneven sends streams through several hosts to engines of the given speeds.
func playUneven(t *testing.T, speeds []float64) (result unevenResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, unevenHosts)
		engines := make(map[domain.UpstreamID]*unevenEngine)
		for i := range unevenEngines {
			id := domain.UpstreamID(fmt.Sprint("d", i+1))
			engines[id] = &unevenEngine{speed: speeds[i%len(speeds)], index: i}
			f.add(id, testService, domain.RoleDecode)
		}
		var mu sync.Mutex
		rejected := 0
		f.reserve = func(up *traffic.Upstream, tokens int) error {
			mu.Lock()
			defer mu.Unlock()
			if engines[up.ID].active >= unevenSlots {
				rejected++
				return errRejected
			}
			return nil
		}
		half := false
		f.stream = func(up *traffic.Upstream, _ traffic.SendOptions) (traffic.Stream, error) {
			mu.Lock()
			defer mu.Unlock()
			e := engines[up.ID]
			if e.active++; half {
				e.streams++
			}
			stream := newFakeStream(unevenEvents, nil)
			stream.closed = func() {
				mu.Lock()
				defer mu.Unlock()
				e.active--
			}
			return &unevenStream{stream, e}, nil
		}
		gates := make([]*Gate, unevenHosts)
		for i := range gates {
			gates[i] = newTestGate(f, f.catalog, unevenHosts)
		}
		draw := rand.New(rand.NewPCG(3, 9))
		var running sync.WaitGroup
		counted := 0.0
		for i := range unevenStreams {
			if i == unevenStreams/2 {
				mu.Lock()
				half, rejected = true, 0
				mu.Unlock()
			}
			running.Go(func() {
				began := time.Now()
				gates[i%unevenHosts].Serve(context.Background(), newRequest("/draft/x"), &fakeCaller{})
				mu.Lock()
				defer mu.Unlock()
				if i >= unevenStreams/2 {
					counted++
					result.mean += time.Since(began).Seconds()
				}
			})
			time.Sleep(time.Duration(draw.ExpFloat64() * float64(unevenMeanGap)))
		}
		running.Wait()
		fastest, total := 0, 0
		for _, e := range engines {
			total += e.streams
			if e.speed > 1 {
				fastest += e.streams
			}
		}
		result.mean /= counted
		result.fast = float64(fastest) / float64(total)
		result.rejected = float64(rejected) / counted
	})
	return result
}

// Engines of speed 0.7, 0.7 and 1.7 that are slow for moments must get streams by their speed, and
// equal engines must be served as before. Guards against equal shares, with which the slow engines
// are full while fast ones idle.
func TestUnevenEnginesGetTheirShare(t *testing.T) {
	r := playUneven(t, []float64{0.7, 0.7, 1.7})
	want := 1.7 / (0.7 + 0.7 + 1.7)
	t.Logf("the fast engines got %.3f of the streams, want %.3f; %.3f rejected, streams took %.2f s", r.fast, want, r.rejected, r.mean)
	if r.fast < 0.9*want || r.fast > 1.1*want || r.rejected > 0.15 {
		t.Errorf("the fast engines got %.3f of the streams, want %.3f; %.3f rejected", r.fast, want, r.rejected)
	}
	r = playUneven(t, []float64{1})
	t.Logf("equal engines: %.3f rejected, streams took %.2f s", r.rejected, r.mean)
	if r.rejected > 0.04 || r.mean > 1.95 {
		t.Errorf("equal engines: %.3f rejected, streams took %.2f s", r.rejected, r.mean)
	}
}

// Engines that differ by chance alone must count as equal, and a few streams must not count as many.
func TestSpeedsThatDifferByChance(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 6))
	const deviation = 0.25
	engines := func(speeds ...float64) []average {
		values := make([]average, 60)
		for i := range values {
			for range 1 + i%6 {
				values[i].add((1 + deviation*draw.NormFloat64()) / speeds[i%len(speeds)])
			}
		}
		return values
	}
	different := 0
	for range 200 {
		if relative(engines(1), deviation*deviation) != nil {
			different++
		}
	}
	if different > 10 {
		t.Errorf("equal engines counted as different in %d of 200 cases", different)
	}
	uneven := engines(0.7, 0.7, 1.7)
	uneven[2] = average{}
	sum := 0.0
	for _, v := range uneven {
		sum += v.mean
	}
	raw := uneven[0].mean / (sum / float64(len(uneven)-1))
	relatives := relative(uneven, deviation*deviation)
	if relatives == nil || relatives[2] != 1 || relatives[5] > 0.7 || math.Abs(relatives[0]-1) > 0.95*math.Abs(raw-1) {
		t.Errorf("relative times %.2f, %.2f as measured of the first one's single stream", relatives, raw)
	}
}
