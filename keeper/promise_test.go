package keeper

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/placement"
	"greengagespoke/ports"
)

// fill takes all places of a bench and returns the grants, the oldest first.
func fill(t *testing.T, b *bench, places int) []domain.Grant {
	t.Helper()
	var grants []domain.Grant
	for i := range places {
		grants = append(grants, mustAcquire(t, b.keeper, place("f", fmt.Sprint(i), 1)))
	}
	return grants
}

// TestPromisedPlaceIsConfirmed checks that a grant before its place is free says
// so, and that the place goes to it before any other request.
func TestPromisedPlaceIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 1, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fill(t, b, 20)
		req := place("a", "1", 1)
		req.PromptTokens = 10_000
		grant := mustAcquire(t, b.keeper, req)
		if grant.DecodeIn <= 0 {
			t.Fatalf("granted %+v while all places are taken", grant)
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			release(t, b.keeper, grants[0])
		}()
		began := time.Now()
		confirmed := mustAcquire(t, b.keeper, req)
		if confirmed.ID != grant.ID || confirmed.DecodeIn != 0 || time.Since(began) != 300*time.Millisecond {
			t.Errorf("after %v got %+v, want the place of the release", time.Since(began), confirmed)
		}
	})
}

// TestOverduePromiseMovesToAFreePlace checks that the keeper resolves a promise
// whose place does not become free.
func TestOverduePromiseMovesToAFreePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fill(t, b, 40)
		req := place("a", "1", 1)
		req.PromptTokens = 10_000
		grant := mustAcquire(t, b.keeper, req)
		go func() {
			time.Sleep(900 * time.Millisecond)
			for _, g := range grants {
				if g.Decode != grant.Decode {
					release(t, b.keeper, g)
					return
				}
			}
		}()
		confirmed := mustAcquire(t, b.keeper, req)
		if confirmed.DecodeIn != 0 || confirmed.Decode == grant.Decode {
			t.Errorf("got %+v, want a place on the other upstream than %s", confirmed, grant.Decode)
		}
	})
}

func TestPromisesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{4, 1, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		fill(t, b, 20)
		promised := 0
		for i := range 5 {
			req := place("a", fmt.Sprint(i), 1)
			req.PromptTokens = 10_000
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if _, err := b.keeper.Acquire(ctx, testGroup, req); err == nil {
				promised++
			}
			cancel()
		}
		if promised == 0 || promised > maxPromises {
			t.Errorf("%d places promised, want 1 to %d", promised, maxPromises)
		}
	})
}

func TestLoadReportCorrectsThePrefillQueue(t *testing.T) {
	now := time.Now()
	p := &prefillState{upstreamState: upstreamState{up: domain.Upstream{PrefillRate: 1000}}}
	p.log = []prefillWork{
		{at: now.Add(-3 * time.Second), time: time.Hour},
		{at: now.Add(-time.Second), time: time.Second},
	}
	p.correct(now, ports.Load{QueuedTokens: 2000, Age: 2 * time.Second})
	if got := p.busyUntil.Sub(now); got != time.Second {
		t.Errorf("queue of %v, want 2 s reported 2 s ago and 1 s granted since", got)
	}
}

// TestPromisesAreBoundedByPieces checks the bound where memory, not slots, holds
// promised places up.
func TestPromisesAreBoundedByPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{4, 1, 4, 8}, JustInTime{})
		defer b.start(t, b.keeper)()
		var held []domain.Grant
		for i := range 4 {
			held = append(held, mustAcquire(t, b.keeper, pieces(place("f", fmt.Sprint(i), 1), 2)))
		}
		g := b.keeper.held()[0]
		for range 10 {
			g.pace.interval.add(float64(5 * time.Millisecond))
		}
		ask := func(caller string, n int) {
			req := pieces(place(domain.CallerID(caller), "1", 1), n)
			req.PromptTokens, req.OutputTokens = 0, n*domain.PieceTokens
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			_, _ = b.keeper.Acquire(ctx, testGroup, req)
		}
		for _, p := range g.prefill {
			p.busyUntil = time.Now().Add(time.Second)
		}
		ask("large", 4)
		release(t, b.keeper, held[0])
		for i := range 4 {
			ask(fmt.Sprint("small", i), 1)
		}
		if n := len(g.decode[0].promises); n == 0 || n > maxPromises {
			t.Errorf("%d places promised, want 1 to %d", n, maxPromises)
		}
	})
}

// pieces gives a request the memory need of n pieces.
func pieces(req domain.PlaceRequest, n int) domain.PlaceRequest {
	req.PromptTokens = n*domain.PieceTokens - req.OutputTokens
	return req
}

// TestFreePlaceGoesToTheGateThatAsks checks that a place does not stay empty for
// a promise whose prefill still runs while another gate waits for one.
func TestFreePlaceGoesToTheGateThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fill(t, b, 40)
		for range releasesKept {
			b.keeper.held()[0].releases.add(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		first, second := place("a", "1", 1), place("b", "1", 1)
		first.PromptTokens, second.PromptTokens = 10_000, 10_000
		running := mustAcquire(t, b.keeper, first)
		mustAcquire(t, b.keeper, second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			for _, g := range grants {
				if g.Decode == running.Decode {
					release(t, b.keeper, g)
					return
				}
			}
		}()
		if kept := mustAcquire(t, b.keeper, second); kept.DecodeIn != 0 || kept.Decode != running.Decode {
			t.Errorf("got %+v, want the place that became free on %s", kept, running.Decode)
		}
	})
}

// TestLinkQueueDoesNotKeepErrorsOfThePrefillQueue checks that a prefill upstream
// is used again once a load report corrected its queue.
func TestLinkQueueDoesNotKeepErrorsOfThePrefillQueue(t *testing.T) {
	now := time.Now()
	p := &prefillState{upstreamState: upstreamState{up: domain.Upstream{PrefillRate: 1000}}}
	p.busyUntil = now.Add(time.Minute)
	p.plan(now, placement.Pair{PrefillWork: time.Second, Transfer: 10 * time.Millisecond}, false)
	p.correct(now.Add(2*time.Second), ports.Load{})
	if s := p.snapshot(now.Add(2 * time.Second)); s.Queue != 0 || s.LinkQueue != 0 {
		t.Errorf("queue of %v and link queue of %v after an empty report", s.Queue, s.LinkQueue)
	}
}

// TestFreePlaceIsUsedWhereAPromiseIsDoubtful checks that a request with a
// first-token target takes a free place on a less preferred upstream where a
// promised one may be too late.
func TestFreePlaceIsUsedWhereAPromiseIsDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(size{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		suspect := place("s", "1", 1)
		suspect.Suspect = true
		shunned := mustAcquire(t, b.keeper, suspect).Decode
		grants := fill(t, b, 39)
		last := slices.IndexFunc(grants, func(g domain.Grant) bool { return g.Decode != shunned })
		_ = b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grants[last], Reason: domain.ReleaseCanceled}})
		time.Sleep(3 * time.Second)
		req := interactive(place("a", "1", 1), 550*time.Millisecond)
		req.PromptTokens = 10_000
		if grant := mustAcquire(t, b.keeper, req); grant.Decode != shunned || grant.DecodeIn != 0 {
			t.Errorf("got %+v, want the free place on %s", grant, shunned)
		}
	})
}
