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
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
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
		through, during := measureStreams(b, func(ctx context.Context, n int, first func()) error {
			_, err := client.Complete(ctx, gateclient.Completion{Model: draftModel, Prompt: benchPrompt(n), MaxTokens: draftsMaxTokens}, func(string) error {
				first()
				return nil
			})
			return err
		})
		beforeDirect := heap()
		straight, duringDirect := measureStreams(b, direct.complete)
		share := float64(during-before) - float64(duringDirect-beforeDirect)
		b.ReportMetric(share/openStreams/1e3, "gate-KB/stream")
		b.ReportMetric(milliseconds(through.ValueAtQuantile(50)), "gate-p50-ms")
		b.ReportMetric(milliseconds(straight.ValueAtQuantile(50)), "direct-p50-ms")
		b.ReportMetric(milliseconds(through.ValueAtQuantile(50)-straight.ValueAtQuantile(50)), "added-p50-ms")
	}
}

func benchPrompt(n int) string { return fmt.Sprintf("Bench prompt %d.", n) }

// measureStreams opens streams one after the other, so that they do not queue
// for prefill, and returns the times to the first token and the memory in use
// while all are open.
func measureStreams(b *testing.B, send func(ctx context.Context, n int, first func()) error) (*hdrhistogram.Histogram, uint64) {
	b.Helper()
	const gap = 15 * time.Millisecond
	times := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range openStreams {
		wg.Go(func() {
			began := time.Now()
			once := sync.OnceFunc(func() {
				mu.Lock()
				defer mu.Unlock()
				_ = times.RecordValue(time.Since(began).Microseconds())
			})
			if err := send(ctx, n, once); err != nil && ctx.Err() == nil {
				b.Error(err)
			}
		})
		time.Sleep(gap)
	}
	during := heap()
	cancel()
	wg.Wait()
	return times, during
}

// direct calls the engines of the drafts pool without a gate.
type direct struct {
	set             *upstreams.Set
	prefill, decode []domain.Upstream
}

func newDirect(d *deployment) *direct {
	c := &direct{set: upstreams.New()}
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

func (c *direct) complete(ctx context.Context, n int, first func()) error {
	id := domain.AttemptID{Caller: "direct", Request: domain.RequestID(fmt.Sprint(n)), Attempt: 1}
	prefill, decode := c.prefill[n%len(c.prefill)], c.decode[n%len(c.decode)]
	result, err := c.set.Engine(prefill).Prefill(ctx, ports.PrefillRequest{ID: id, Model: draftModel, Prompt: benchPrompt(n), MaxTokens: draftsMaxTokens})
	if err != nil {
		return err
	}
	engine := c.set.Engine(decode)
	defer func() { _ = engine.Cancel(context.WithoutCancel(ctx), id) }()
	if err := engine.Import(ctx, ports.ImportRequest{ID: id, Source: prefill.ID, SourceAddress: prefill.Address, Handle: result.Handle, Pieces: 1}); err != nil {
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
		first()
		if frame.Last {
			return nil
		}
	}
}
