package demo

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagespoke/adapters/gateclient"
	"greengagespoke/adapters/upstreams"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the live heap and stacks in bytes.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func startBench(b *testing.B, hosts int) *deployment {
	b.Helper()
	d, err := newDeployment(context.Background(), hosts, openStreams)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := d.close(); err != nil {
			b.Error(err)
		}
	})
	return d
}

// BenchmarkIdleHost measures what one host costs without requests. It includes
// the share of the stand-ins that answer it.
func BenchmarkIdleHost(b *testing.B) {
	const length = 5 * time.Second
	for _, hosts := range []int{3, 9, 18} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			before := heap()
			startBench(b, hosts)
			began := cpuTime(b)
			for b.Loop() {
				time.Sleep(length)
			}
			elapsed := float64(length) * float64(b.N) * float64(hosts)
			b.ReportMetric(100*float64(cpuTime(b)-began)/elapsed, "%core/host")
			b.ReportMetric(float64(heap()-before)/float64(hosts)/1e6, "MB/host")
			b.ReportMetric(0, "ns/op")
		})
	}
}

const openStreams = 200

// BenchmarkAddedLatency compares the time to the first token through a gate with
// that of the same calls made directly to the engines, with 200 open streams.
func BenchmarkAddedLatency(b *testing.B) {
	d := startBench(b, MinHosts)
	client := gateclient.New(gateclient.Config{Hosts: []string{d.hosts[0].address}, Caller: "bench"})
	direct := newDirect(d)
	for b.Loop() {
		before := heap()
		through := measureStreams(b, func(ctx context.Context, n int, arrived func()) error {
			_, err := client.Complete(ctx, gateclient.Completion{Model: draftModel, Prompt: benchPrompt(n), MaxTokens: draftsMaxTokens}, func(string) error {
				arrived()
				return nil
			})
			return err
		})
		// Connections of the first part end before the second one begins.
		time.Sleep(time.Second)
		beforeDirect := heap()
		straight := measureStreams(b, direct.complete)
		share := float64(through.heap - before - (straight.heap - beforeDirect))
		b.ReportMetric(share/openStreams/1e3, "gate-KB/stream")
		b.ReportMetric(through.p50(), "gate-p50-ms")
		b.ReportMetric(straight.p50(), "direct-p50-ms")
		b.ReportMetric(through.p50()-straight.p50(), "added-p50-ms")
		b.ReportMetric(through.perFrame()-straight.perFrame(), "gate-us/frame")
	}
}

func benchPrompt(n int) string { return fmt.Sprintf("Bench prompt %d.", n) }

// streams is what was measured of open streams.
type streams struct {
	first  *hdrhistogram.Histogram
	heap   int64
	cpu    time.Duration
	frames int
}

// p50 returns the median time to the first token in milliseconds.
func (s *streams) p50() float64 { return milliseconds(s.first.ValueAtQuantile(50)) }

// perFrame returns the processor time per frame in microseconds, of all parties
// in this process.
func (s *streams) perFrame() float64 {
	return float64(s.cpu.Microseconds()) / float64(max(1, s.frames))
}

// measureStreams opens streams one after the other, so that they do not queue
// for prefill, lets all of them run for a while and ends them.
func measureStreams(b *testing.B, send func(ctx context.Context, n int, arrived func()) error) *streams {
	b.Helper()
	const (
		gap    = 15 * time.Millisecond
		steady = 2 * time.Second
	)
	s := &streams{first: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range openStreams {
		wg.Go(func() {
			began := time.Now()
			first := true
			err := send(ctx, n, func() {
				mu.Lock()
				defer mu.Unlock()
				s.frames++
				if first {
					first = false
					_ = s.first.RecordValue(time.Since(began).Microseconds())
				}
			})
			if err != nil && ctx.Err() == nil {
				b.Error(err)
			}
		})
		time.Sleep(gap)
	}
	s.heap = heap()
	mu.Lock()
	s.frames = 0
	mu.Unlock()
	before := cpuTime(b)
	time.Sleep(steady)
	s.cpu = cpuTime(b) - before
	mu.Lock()
	frames := s.frames
	mu.Unlock()
	cancel()
	wg.Wait()
	s.frames = frames
	return s
}

// direct calls the engines of the drafts pool without a gate.
type direct struct {
	// holder is a live host, so that its keeper leaves the attempts alone while
	// they are measured.
	holder          domain.HostID
	set             *upstreams.Set
	prefill, decode []domain.Upstream
}

func newDirect(d *deployment) *direct {
	c := &direct{holder: d.hosts[0].id, set: upstreams.New()}
	pool, _ := d.hosts[0].daemon.Host().Tables.Pool(draftPool)
	for _, up := range pool.Upstreams {
		if up.Role == domain.RolePrefill {
			c.prefill = append(c.prefill, up)
		} else {
			c.decode = append(c.decode, up)
		}
	}
	return c
}

func (c *direct) complete(ctx context.Context, n int, arrived func()) error {
	id := domain.AttemptID{Caller: "direct", Request: domain.RequestID(fmt.Sprint(n)), Attempt: 1}
	prefill, decode := c.prefill[n%len(c.prefill)], c.decode[n%len(c.decode)]
	result, err := c.set.Engine(prefill).Prefill(ctx, ports.PrefillRequest{ID: id, Holder: c.holder, Model: draftModel, Prompt: benchPrompt(n), MaxTokens: draftsMaxTokens})
	if err != nil {
		return err
	}
	engine := c.set.Engine(decode)
	defer func() { _ = engine.Cancel(context.WithoutCancel(ctx), id) }()
	if err := engine.Import(ctx, ports.ImportRequest{ID: id, Holder: c.holder, Source: prefill.ID, SourceAddress: prefill.Address, Handle: result.Handle, Pieces: 1}); err != nil {
		return err
	}
	stream, err := engine.Decode(ctx, id, 0)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		arrived()
		if frame.Last {
			return nil
		}
	}
}
