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

// runSynctest runs a test in a synctest bubble (virtual time). It cancels the
// context and waits for the goroutines before the bubble ends.
func runSynctest(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// callEvery calls f once per interval until the context ends.
func callEvery(ctx context.Context, interval time.Duration, f func()) {
	for sleepUntil(ctx, interval, time.Now().Add(time.Hour)) == nil {
		f()
	}
}

// TestHerd guards against a thundering herd after an outage. 340 hosts reconnect
// at once, each with a lease to renew and with more claims, edits and reads than
// its share allows. The platform's limits of 400 writes and 2,000 reads a second
// must not be reached while the hosts reconnect, and few calls may be throttled
// while all hosts keep asking for more than the platform allows.
func TestHerd(t *testing.T) {
	const (
		hosts  = 340
		writes = 400
		reads  = 2000
		outage = 20 * time.Second
		after  = 60 * time.Second
	)
	runSynctest(t, func(t *testing.T, ctx context.Context) {
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
			go callEvery(ctx, time.Second, func() { write(ClassLeases) })
			go callEvery(ctx, 500*time.Millisecond, func() { write(ClassClaims) })
			go callEvery(ctx, time.Second, func() { write(ClassEdits) })
			go callEvery(ctx, 200*time.Millisecond, func() { _, _, _ = g.Tables().Get(ctx, "head") })
		}
		time.Sleep(outage)
		p.SetOutage(false)
		back := time.Now()
		mostWrites, mostReads := int64(0), int64(0)
		for time.Since(back) < minGrowthDelay {
			w, r := p.Writes(), p.Reads()
			time.Sleep(time.Second)
			mostWrites, mostReads = max(mostWrites, p.Writes()-w), max(mostReads, p.Reads()-r)
		}
		t.Logf("most in one second: %d writes, %d reads; throttled %d", mostWrites, mostReads, p.Throttles())
		if mostWrites > writes || mostReads > reads || p.Throttles() > 0 {
			t.Errorf("over the limits: %d writes, %d reads, %d throttled", mostWrites, mostReads, p.Throttles())
		}
		if mostWrites < writes/2 {
			t.Errorf("only %d writes in the busiest second; the budget is too strict", mostWrites)
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
			if elapsed := at.Sub(back); elapsed > 10*time.Second {
				t.Errorf("host %d renewed its lease only after %v", host, elapsed)
			}
		}
	})
}

func TestBreakerRefusesAtOnceAndRecovers(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{Latency: 200 * time.Millisecond})
		g := New(Config{Tables: p.Tables(), Objects: p.Objects()})
		p.SetOutage(true)
		for range breakerFailureThreshold {
			_, _ = g.Tables().Commit(ctx, put("a"))
		}
		refusedBefore := p.Refused()
		for range 10 {
			if _, err := g.Tables().Commit(ctx, put("a")); !errors.Is(err, ports.ErrStoreDown) {
				t.Fatalf("open breaker: %v", err)
			}
		}
		if p.Refused() != refusedBefore {
			t.Errorf("%d calls reached the service while the breaker was open", p.Refused()-refusedBefore)
		}
		if _, _, err := g.Tables().Get(ctx, "a"); !errors.Is(err, ports.ErrStoreDown) || p.Refused() == refusedBefore {
			t.Errorf("a read did not reach the service: %v", err)
		}
		p.SetOutage(false)
		time.Sleep(maxBreakerOpen)
		if _, err := g.Tables().Commit(ctx, put("a")); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

func TestThrottledCallsAreRepeated(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
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

// TestClassesShareTheBudget keeps waiters in all classes and checks that higher
// classes get more of the budget and that the lowest does not starve.
func TestClassesShareTheBudget(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		b := newBudget(10, 1)
		ctx, cancel := context.WithCancel(ctx)
		var mu sync.Mutex
		var served [classCount]int
		for class := range classCount {
			for range 40 {
				go func() {
					for b.acquire(ctx, Class(class), time.Now().Add(time.Hour)) == nil && ctx.Err() == nil {
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
	runSynctest(t, func(t *testing.T, ctx context.Context) {
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

// TestSurge checks that one busy host grows into the budget that others leave
// unused, and returns to its share once the platform throttles a call.
func TestSurge(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		b := newBudget(100, 10)
		take := func(d time.Duration) int {
			n := 0
			for end := time.Now().Add(d); time.Now().Before(end); n++ {
				if err := b.acquire(ctx, ClassClaims, time.Now().Add(time.Minute)); err != nil {
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
			t.Errorf("%d calls in 10 s after a time without throttling, want many times the share", n)
		}
		b.onThrottled()
		if n := take(10 * time.Second); n > 90 {
			t.Errorf("%d calls in 10 s after a throttled call", n)
		}
	})
}

// TestShareFollowsTheKnownHosts checks that a host that asks for more than its
// share stays within it from 200 ms after it learned of the other hosts.
func TestShareFollowsTheKnownHosts(t *testing.T) {
	const (
		writes   = 1000
		hosts    = 200
		observed = 20 * time.Second
	)
	runSynctest(t, func(t *testing.T, ctx context.Context) {
		p := platform.New(platform.Config{})
		var known atomic.Int64
		g := New(Config{
			Tables: p.Tables(), Objects: p.Objects(), WritesPerSecond: writes,
			Hosts: func() int { return int(known.Load()) },
		})
		for i := range 8 {
			go callEvery(ctx, 10*time.Millisecond, func() { _, _ = g.Tables().Commit(ctx, put(fmt.Sprint(i))) })
		}
		time.Sleep(100 * time.Millisecond)
		known.Store(hosts)
		time.Sleep(200 * time.Millisecond)
		before := p.Writes()
		time.Sleep(observed)
		share := writes * usableLimitShare / hosts * observed.Seconds()
		if got := float64(p.Writes() - before); got > share+1 || got < share/2 {
			t.Errorf("%v writes in %v, want the share of %v", got, observed, share)
		}
	})
}
