package storeguard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

func put(key string) ports.Txn {
	return ports.Txn{Then: []ports.Write{{Key: key}}}
}

// bubble runs a test under virtual time, with a context that ends before the
// bubble does.
func bubble(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// every calls f at the interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for sleepUntil(ctx, interval, time.Now().Add(time.Hour)) == nil {
		f()
	}
}

// TestHerd lets 340 hosts come back from an outage together, each with leases to
// renew and with more claims, edits and polls than its share allows. It checks
// that the platform's limits of 400 writes and 2,000 reads a second are not hit
// while the hosts come back, and that few calls are refused when all of them go
// on to ask for more than the platform gives.
func TestHerd(t *testing.T) {
	const (
		hosts  = 340
		writes = 400
		reads  = 2000
		outage = 20 * time.Second
		after  = 60 * time.Second
	)
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{WritesPerSecond: writes, ReadsPerSecond: reads, Latency: 10 * time.Millisecond})
		p.SetOutage(true)
		var mu sync.Mutex
		served := make(map[int]time.Time)
		for i := range hosts {
			g := New(Config{Tables: p.Tables(), Objects: p.Objects(), WritesPerSecond: writes, ReadsPerSecond: reads, ExpectedHosts: hosts})
			write := func(class Class) {
				key := fmt.Sprintf("%d/%s", i, class)
				if _, err := g.Tables().Commit(WithClass(ctx, class), put(key)); err != nil || class != ClassLeases {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if _, ok := served[i]; !ok {
					served[i] = time.Now()
				}
			}
			go every(ctx, time.Second, func() { write(ClassLeases) })
			go every(ctx, 500*time.Millisecond, func() { write(ClassClaims) })
			go every(ctx, time.Second, func() { write(ClassEdits) })
			go every(ctx, 200*time.Millisecond, func() { _, _, _ = g.Tables().Get(ctx, "head") })
		}
		time.Sleep(outage)
		p.SetOutage(false)
		back := time.Now()
		mostWrites, mostReads := int64(0), int64(0)
		for time.Since(back) < calmMin {
			w, r := p.Writes(), p.Reads()
			time.Sleep(time.Second)
			mostWrites, mostReads = max(mostWrites, p.Writes()-w), max(mostReads, p.Reads()-r)
		}
		t.Logf("most in one second: %d writes, %d reads; throttled %d", mostWrites, mostReads, p.Throttles())
		if mostWrites > writes || mostReads > reads || p.Throttles() > 0 {
			t.Errorf("over the limits: %d writes, %d reads, %d throttled", mostWrites, mostReads, p.Throttles())
		}
		if mostWrites < writes/2 {
			t.Errorf("only %d writes in the busiest second; the budget is too tight", mostWrites)
		}
		calls := p.Writes() + p.Reads()
		time.Sleep(after)
		calls = p.Writes() + p.Reads() - calls
		t.Logf("later, while all hosts asked for more: %d served, %d throttled", calls, p.Throttles())
		if p.Throttles() > calls/20 {
			t.Errorf("%d calls throttled for %d served", p.Throttles(), calls)
		}
		mu.Lock()
		defer mu.Unlock()
		if len(served) != hosts {
			t.Fatalf("%d of %d hosts renewed a lease", len(served), hosts)
		}
		for host, at := range served {
			if took := at.Sub(back); took > 10*time.Second {
				t.Errorf("host %d renewed its lease only after %v", host, took)
			}
		}
	})
}

func TestBreakerRefusesAtOnceAndRecovers(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{Latency: 200 * time.Millisecond})
		g := New(Config{Tables: p.Tables(), Objects: p.Objects()})
		p.SetOutage(true)
		for range tripFailures {
			_, _ = g.Tables().Commit(ctx, put("a"))
		}
		met := p.Refused()
		for range 10 {
			if _, err := g.Tables().Commit(ctx, put("a")); !errors.Is(err, ports.ErrStoreDown) {
				t.Fatalf("open breaker: %v", err)
			}
		}
		if p.Refused() != met {
			t.Errorf("%d calls reached the service while the breaker was open", p.Refused()-met)
		}
		if _, _, err := g.Tables().Get(ctx, "a"); !errors.Is(err, ports.ErrStoreDown) || p.Refused() == met {
			t.Errorf("a read did not reach the service: %v", err)
		}
		p.SetOutage(false)
		time.Sleep(openMax)
		if _, err := g.Tables().Commit(ctx, put("a")); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

func TestThrottledCallsAreRepeated(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{WritesPerSecond: 2})
		g := New(Config{Tables: p.Tables(), Objects: p.Objects(), WritesPerSecond: 100})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				if _, err := g.Tables().Commit(ctx, put("a")); err != nil {
					t.Errorf("commit: %v", err)
				}
			})
		}
		wg.Wait()
		if p.Throttles() == 0 || p.Writes() != 4 {
			t.Errorf("%d throttles and %d writes, want some and 4", p.Throttles(), p.Writes())
		}
	})
}

// TestClassesShareTheBudget keeps all classes waiting and counts who is served.
func TestClassesShareTheBudget(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		b := newBudget(10, 1)
		ctx, cancel := context.WithCancel(ctx)
		var mu sync.Mutex
		var served [classCount]int
		for class := range classCount {
			for range 40 {
				go func() {
					for b.take(ctx, Class(class), time.Now().Add(time.Hour)) == nil && ctx.Err() == nil {
						mu.Lock()
						served[class]++
						mu.Unlock()
					}
				}()
			}
		}
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		if served[ClassLeases] < 100 || served[ClassEdits] < 15 || served[ClassClaims] > served[ClassLeases] {
			t.Errorf("served %v, want most for leases and some for edits", served)
		}
	})
}

func TestOverBudgetSaysThatNothingWasDone(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		g := New(Config{Tables: p.Tables(), Objects: p.Objects(), WritesPerSecond: 1, ExpectedHosts: 10})
		refused := int64(0)
		for range 4 {
			if _, err := g.Tables().Commit(ctx, put("a")); errors.Is(err, ports.ErrStoreThrottled) {
				refused++
			}
		}
		if refused == 0 || p.Writes() != 4-refused {
			t.Errorf("%d refused and %d sent of 4", refused, p.Writes())
		}
	})
}

// TestSurge lets one busy host use what the others leave, until the platform
// refuses a call.
func TestSurge(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		b := newBudget(100, 10)
		take := func(d time.Duration) int {
			n := 0
			for end := time.Now().Add(d); time.Now().Before(end); n++ {
				if err := b.take(ctx, ClassClaims, time.Now().Add(time.Minute)); err != nil {
					t.Fatal(err)
				}
			}
			return n
		}
		if n := take(10 * time.Second); n > 90 {
			t.Errorf("%d calls in 10 s with a share of 8 a second", n)
		}
		take(5 * time.Minute)
		if n := take(10 * time.Second); n < 500 {
			t.Errorf("%d calls in 10 s after a calm time, want many times the share", n)
		}
		b.throttled()
		if n := take(10 * time.Second); n > 90 {
			t.Errorf("%d calls in 10 s after a refusal", n)
		}
	})
}

// TestShareFollowsTheKnownHosts checks the writes of a host that asks for more
// than its share, from 200 ms after it learned of the other hosts.
func TestShareFollowsTheKnownHosts(t *testing.T) {
	const (
		writes   = 1000
		hosts    = 200
		observed = 20 * time.Second
	)
	bubble(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		var known atomic.Int64
		g := New(Config{
			Tables: p.Tables(), Objects: p.Objects(), WritesPerSecond: writes,
			Hosts: func() int { return int(known.Load()) },
		})
		for i := range 8 {
			go every(ctx, 10*time.Millisecond, func() { _, _ = g.Tables().Commit(ctx, put(fmt.Sprint(i))) })
		}
		time.Sleep(100 * time.Millisecond)
		known.Store(hosts)
		time.Sleep(200 * time.Millisecond)
		before := p.Writes()
		time.Sleep(observed)
		share := writes * headroom / hosts * observed.Seconds()
		if got := float64(p.Writes() - before); got > share+1 || got < share/2 {
			t.Errorf("%v writes in %v, want the share of %v", got, observed, share)
		}
	})
}
