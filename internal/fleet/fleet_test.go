package fleet

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// runFleet starts a fleet in a bubble of virtual time, runs body and checks the
// promises after it.
func runFleet(t *testing.T, cfg Config, body func(ctx context.Context, f *Fleet, book *Book)) *Book {
	t.Helper()
	var book *Book
	synctest.Test(t, func(t *testing.T) {
		book = NewBook()
		cfg.Event = book.Event
		ctx, cancel := context.WithCancel(t.Context())
		f, err := Start(ctx, cfg)
		if err != nil {
			t.Fatal(err)
		}
		var watchers sync.WaitGroup
		watchers.Go(func() { f.WatchRevisions(ctx, book) })
		watchers.Go(func() { f.WatchMemory(ctx, book) })
		body(ctx, f, book)
		f.AwaitMemory()
		f.CheckDoubled(book)
		cancel()
		watchers.Wait()
		f.Wait()
	})
	for _, problem := range book.Problems {
		t.Errorf("seed %d: %s", cfg.Seed, problem)
	}
	if len(book.Problems) > 0 {
		t.Logf("trace of events:\n%s", strings.Join(book.Events, "\n"))
	}
	t.Logf("sent %d, answered %d, canceled %d, resent %d, refused %v", book.Sent, book.Answered, book.Canceled, book.Resent, book.Refused)
	return book
}

var smallFleet = Config{Hosts: 4, Prefill: 2, Decode: 4, Services: 2, Seed: 1}

func TestPromisesHoldWithoutFaults(t *testing.T) {
	book := runFleet(t, smallFleet, func(ctx context.Context, f *Fleet, book *Book) {
		loadCtx, stop := context.WithTimeout(ctx, 20*time.Second)
		defer stop()
		f.Load(loadCtx, book)
	})
	if book.Answered+book.Canceled != book.Sent {
		t.Errorf("%d of %d requests have no answer: %v", book.Sent-book.Answered-book.Canceled, book.Sent, book.Refused)
	}
}

// TestRollingRestart restarts nine hosts one after the other under load. No
// request in flight may be cut off.
func TestRollingRestart(t *testing.T) {
	cfg := smallFleet
	cfg.Hosts = 9
	book := runFleet(t, cfg, func(ctx context.Context, f *Fleet, book *Book) {
		loadCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Load(loadCtx, book)
		}()
		for _, m := range f.Hosts {
			time.Sleep(time.Second)
			if err := f.Stop(ctx, m); err != nil {
				book.Problem("stop of %s: %v", m.ID, err)
			}
			f.list(m.ID, m.Zone)
			f.StartHost(ctx, m)
			if err := f.awaitReady(ctx); err != nil {
				book.Problem("restart of %s: %v", m.ID, err)
			}
		}
		stop()
		<-done
	})
	if book.Resent > 0 {
		t.Errorf("%d requests had to be sent again", book.Resent)
	}
	if book.Answered+book.Canceled != book.Sent {
		t.Errorf("%d of %d requests have no answer: %v", book.Sent-book.Answered-book.Canceled, book.Sent, book.Refused)
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	runFleet(t, smallFleet, func(ctx context.Context, f *Fleet, book *Book) {
		loadCtx, stop := context.WithTimeout(ctx, 35*time.Second)
		defer stop()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.LeaveUpstream(book, "decode-2")
			f.LeaveUpstream(book, "prefill-1")
			f.LeaveUpstream(book, "ledger-1")
		}()
		f.Load(loadCtx, book)
		<-done
	})
}
