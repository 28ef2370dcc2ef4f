package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
)

const (
	outage = 10 * time.Minute
	// backWithin is the time after an outage in which calls run again.
	backWithin = 10 * time.Second
)

// callService makes one call through a host and returns its refusal, if any.
func (f *Fleet) callService(ctx context.Context, m *Member, method, path, key string, attempt int) *domain.Refusal {
	_, err := m.Host.Gate.CallService(ctx, routing.ServiceCall{
		Caller: "firm-a", IdempotencyKey: key, Attempt: attempt,
		Request: ports.ServiceRequest{Method: method, Path: path, Header: map[string][]string{"Idempotency-Key": {key}}},
	})
	refusal, _ := domain.AsRefusal(err)
	return refusal
}

// TestStoreOutage has the table service and object store down for ten minutes.
func TestStoreOutage(t *testing.T) {
	runFleet(t, smallFleet, func(ctx context.Context, f *Fleet, book *Book) {
		f.Platform.SetOutage(true)
		ends := time.Now().Add(outage)
		answered := 0
		for n := 0; time.Now().Before(ends); n++ {
			m := f.Hosts[n%len(f.Hosts)]
			f.Draft(ctx, book, "firm-a", n, fmt.Sprint("Draft ", n))
			if refusal := f.callService(ctx, m, "GET", StatusPath, "", 1); refusal != nil {
				t.Errorf("idempotent call during the outage: %v", refusal)
			}
			key := fmt.Sprint("first-", n)
			if refusal := f.callService(ctx, m, "POST", ClosurePath, key, 1); refusal == nil || refusal.Kind != domain.RefusalStoreDown || refusal.Ran != domain.RanNo {
				t.Errorf("non-idempotent call during the outage: %v", refusal)
			}
			if refusal := f.callService(ctx, m, "POST", ClosurePath, key, 2); refusal == nil || refusal.Ran != domain.RanUnknown {
				t.Errorf("resend of a non-idempotent call during the outage: %v", refusal)
			}
			f.checkExecutions(book, key, 0, 0)
			if _, err := f.Edit(ctx, key, domain.TablePools, "late", domain.Pool{Name: "late", Kind: domain.PoolService}, 0); !errors.Is(err, ports.ErrStoreDown) {
				t.Errorf("edit during the outage: %v", err)
			}
			answered++
			time.Sleep(20 * time.Second)
		}
		if book.Answered != answered {
			t.Errorf("%d of %d drafts answered during the outage", book.Answered, answered)
		}
		f.restartDuringOutage(ctx, t, book)
		f.Platform.SetOutage(false)
		f.checkBack(ctx, t, book)
	})
}

// restartDuringOutage replaces a host while the store is down.
func (f *Fleet) restartDuringOutage(ctx context.Context, t *testing.T, book *Book) {
	revision := f.Hosts[1].Host.Tables.Revision()
	f.Kill(f.Hosts[0])
	f.list(f.Hosts[0].ID, f.Hosts[0].Zone)
	f.StartHost(ctx, f.Hosts[0])
	if err := f.awaitReady(ctx); err != nil {
		book.Problem("start during the outage: %v", err)
	}
	if got := f.Hosts[0].Host.Tables.Revision(); got != revision {
		t.Errorf("host started with revision %d during the outage, want %d", got, revision)
	}
}

// checkBack checks that calls and edits work soon after an outage.
func (f *Fleet) checkBack(ctx context.Context, t *testing.T, book *Book) {
	back := time.Now()
	for i, m := range f.Hosts {
		key := fmt.Sprint("back-", i)
		for attempt := 1; ; attempt++ {
			refusal := f.callService(ctx, m, "POST", ClosurePath, key, attempt)
			if refusal == nil {
				break
			}
			if time.Since(back) > backWithin {
				t.Errorf("call through %s is still refused: %v", m.ID, refusal)
				break
			}
			time.Sleep(resendPause)
		}
		f.checkExecutions(book, key, 1, 1)
	}
	change, err := f.Edit(ctx, "after", domain.TablePools, "late", domain.Pool{Name: "late", Kind: domain.PoolService}, 0)
	if err != nil {
		t.Errorf("edit after the outage: %v", err)
	}
	f.CheckInForce(book, change.Revision)
}

// TestSlowStore has a store that takes one second, and then four, for each
// answer. With four, most non-idempotent calls miss their timeout of five.
func TestSlowStore(t *testing.T) {
	for _, c := range []struct {
		latency    time.Duration
		unanswered int
	}{{time.Second, 0}, {4 * time.Second, 150}} {
		book := runFleet(t, smallFleet, func(ctx context.Context, f *Fleet, book *Book) {
			f.Platform.SetLatency(c.latency)
			loadCtx, stop := context.WithTimeout(ctx, 30*time.Second)
			defer stop()
			f.Load(loadCtx, book)
			f.Platform.SetLatency(0)
		})
		if unanswered := book.Sent - book.Answered - book.Canceled; unanswered > c.unanswered {
			t.Errorf("latency %v: %d of %d requests have no answer: %v", c.latency, unanswered, book.Sent, book.Refused)
		}
	}
}

// TestLostAnswers loses three in ten of the answers to writes.
func TestLostAnswers(t *testing.T) {
	book := runFleet(t, smallFleet, func(ctx context.Context, f *Fleet, book *Book) {
		f.Platform.SetAnswerLoss(0.3)
		loadCtx, stop := context.WithTimeout(ctx, 30*time.Second)
		defer stop()
		f.Load(loadCtx, book)
		f.Platform.SetAnswerLoss(0)
	})
	if book.Answered+book.Canceled < book.Sent*9/10 {
		t.Errorf("%d of %d requests have no answer: %v", book.Sent-book.Answered-book.Canceled, book.Sent, book.Refused)
	}
}
