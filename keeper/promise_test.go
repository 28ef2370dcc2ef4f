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

// fillSlots acquires the given number of slots and returns the grants, the
// oldest first.
func fillSlots(t *testing.T, b *fixture, places int) []domain.Grant {
	t.Helper()
	var grants []domain.Grant
	for i := range places {
		grants = append(grants, mustAcquire(t, b.keeper, slotRequest("f", fmt.Sprint(i), 1)))
	}
	return grants
}

// TestPromisedSlotIsConfirmed checks that a grant is marked as promised while
// its slot is not free, and that the slot goes to it before any other request.
func TestPromisedSlotIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fillSlots(t, b, 20)
		req := slotRequest("a", "1", 1)
		req.PromptTokens = 10_000
		grant := mustAcquire(t, b.keeper, req)
		if grant.DecodeFreeIn <= 0 {
			t.Fatalf("granted %+v while no slot is free", grant)
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			release(t, b.keeper, grants[0])
		}()
		began := time.Now()
		confirmed := mustAcquire(t, b.keeper, req)
		if confirmed.ID != grant.ID || confirmed.DecodeFreeIn != 0 || time.Since(began) != 300*time.Millisecond {
			t.Errorf("after %v got %+v, want the released slot", time.Since(began), confirmed)
		}
	})
}

// TestOverduePromiseMovesToFreeSlot checks that a promised grant whose own slot
// does not become free moves to another upstream.
func TestOverduePromiseMovesToFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fillSlots(t, b, 40)
		req := slotRequest("a", "1", 1)
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
		if confirmed.DecodeFreeIn != 0 || confirmed.Decode == grant.Decode {
			t.Errorf("got %+v, want a slot on an upstream other than %s", confirmed, grant.Decode)
		}
	})
}

func TestPromisesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{4, 1, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		fillSlots(t, b, 20)
		promised := 0
		for i := range 5 {
			req := slotRequest("a", fmt.Sprint(i), 1)
			req.PromptTokens = 10_000
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if _, err := b.keeper.Acquire(ctx, testGroup, req); err == nil {
				promised++
			}
			cancel()
		}
		if promised == 0 || promised > maxPromisesPerUpstream {
			t.Errorf("%d slots promised, want 1 to %d", promised, maxPromisesPerUpstream)
		}
	})
}

func TestLoadReportCorrectsThePrefillQueue(t *testing.T) {
	now := time.Now()
	p := &prefillState{upstreamState: upstreamState{up: domain.Upstream{PrefillRate: 1000}}}
	p.recentWork = []prefillWork{
		{grantedAt: now.Add(-3 * time.Second), duration: time.Hour},
		{grantedAt: now.Add(-time.Second), duration: time.Second},
	}
	p.applyLoadReport(now, ports.Load{QueuedTokens: 2000, Age: 2 * time.Second})
	if got := p.busyUntil.Sub(now); got != time.Second {
		t.Errorf("queue of %v, want 2 s reported 2 s ago and 1 s granted since", got)
	}
}

// TestPromisesAreLimitedByPieces checks the limit on promises when promised
// slots wait for memory instead of slots.
func TestPromisesAreLimitedByPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{4, 1, 4, 8}, JustInTime{})
		defer b.start(t, b.keeper)()
		var held []domain.Grant
		for i := range 4 {
			held = append(held, mustAcquire(t, b.keeper, withPieces(slotRequest("f", fmt.Sprint(i), 1), 2)))
		}
		g := b.keeper.ownedGroups()[0]
		for range 10 {
			g.pace.interval.add(float64(5 * time.Millisecond))
		}
		ask := func(caller string, n int) {
			req := withPieces(slotRequest(domain.CallerID(caller), "1", 1), n)
			req.PromptTokens, req.OutputTokens = 0, n*domain.TokensPerPiece
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
		if n := len(g.decode[0].promises); n == 0 || n > maxPromisesPerUpstream {
			t.Errorf("%d slots promised, want 1 to %d", n, maxPromisesPerUpstream)
		}
	})
}

// withPieces sets the prompt length so that the request needs n pieces of
// memory.
func withPieces(req domain.SlotRequest, n int) domain.SlotRequest {
	req.PromptTokens = n*domain.TokensPerPiece - req.OutputTokens
	return req
}

// TestFreeSlotGoesToWaitingGate guards against a slot that stays empty for a
// promised grant whose prefill is still running, while another gate waits for a
// slot.
func TestFreeSlotGoesToWaitingGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		grants := fillSlots(t, b, 40)
		for range maxReleaseSamples {
			b.keeper.ownedGroups()[0].releases.add(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		first, second := slotRequest("a", "1", 1), slotRequest("b", "1", 1)
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
		if kept := mustAcquire(t, b.keeper, second); kept.DecodeFreeIn != 0 || kept.Decode != running.Decode {
			t.Errorf("got %+v, want the slot that became free on %s", kept, running.Decode)
		}
	})
}

// TestLinkQueueDoesNotKeepErrorsOfThePrefillQueue guards against a prefill
// upstream that stays unused after a load report corrected its queue, because
// the link queue kept the error.
func TestLinkQueueDoesNotKeepErrorsOfThePrefillQueue(t *testing.T) {
	now := time.Now()
	p := &prefillState{upstreamState: upstreamState{up: domain.Upstream{PrefillRate: 1000}}}
	p.busyUntil = now.Add(time.Minute)
	p.addWork(now, placement.Pair{PrefillDuration: time.Second, Transfer: 10 * time.Millisecond}, false)
	p.applyLoadReport(now.Add(2*time.Second), ports.Load{})
	if s := p.snapshot(now.Add(2 * time.Second)); s.QueueDelay != 0 || s.LinkQueueDelay != 0 {
		t.Errorf("queue of %v and link queue of %v after an empty report", s.QueueDelay, s.LinkQueueDelay)
	}
}

// TestFreeSlotIsUsedWhenPromiseMayBeLate checks that a request with a
// first-token target takes a free slot on a less preferred upstream if a
// promised slot may come too late.
func TestFreeSlotIsUsedWhenPromiseMayBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 20, 200}, JustInTime{})
		defer b.start(t, b.keeper)()
		suspect := slotRequest("s", "1", 1)
		suspect.Suspect = true
		suspectUpstream := mustAcquire(t, b.keeper, suspect).Decode
		grants := fillSlots(t, b, 39)
		last := slices.IndexFunc(grants, func(g domain.Grant) bool { return g.Decode != suspectUpstream })
		_ = b.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grants[last], Reason: domain.ReleaseCanceled}})
		time.Sleep(3 * time.Second)
		req := interactive(slotRequest("a", "1", 1), 550*time.Millisecond)
		req.PromptTokens = 10_000
		if grant := mustAcquire(t, b.keeper, req); grant.Decode != suspectUpstream || grant.DecodeFreeIn != 0 {
			t.Errorf("got %+v, want the free slot on %s", grant, suspectUpstream)
		}
	})
}
