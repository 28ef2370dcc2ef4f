package keeper

import (
	"fmt"
	"testing"
	"time"

	"greengagespoke/domain"
)

// callerCount is the number of callers that take turns in benchmarks.
const callerCount = 45_000

// fullGroup returns a group of 16 prefill and 48 decode upstreams whose slots
// are all granted, with the given number of requests waiting.
func fullGroup(b *testing.B, waiting int) (*group, func() domain.SlotRequest) {
	b.Helper()
	const slots = 20
	f := newFixture(fleetSize{16, 48, slots, 400}, ReserveThenPrefill{})
	def, _ := f.keeper.definition(testGroup)
	g := newGroup(f.keeper, def)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams() {
		u.listed = true
	}
	n := 0
	next := func() domain.SlotRequest {
		n++
		req := slotRequest(domain.CallerID(fmt.Sprint("caller-", n*7919%callerCount)), fmt.Sprint(n), 1)
		req.PieceKeys = []domain.PieceKey{domain.PieceKey(n), domain.PieceKey(n + 1)}
		req.PromptTokens, req.OutputTokens = 2500, 500
		return req
	}
	for range 48*slots + waiting {
		g.enqueue(next(), time.Now())
	}
	if g.queue.Len() != waiting {
		b.Fatalf("%d waiting, want %d", g.queue.Len(), waiting)
	}
	return g, next
}

// BenchmarkGrantAndRelease measures one release with the grant that follows it,
// and the arrival of one request, at a constant number of waiting requests.
func BenchmarkGrantAndRelease(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g, next := fullGroup(b, waiting)
			held := make([]domain.Grant, 0, len(g.grants))
			for _, gr := range g.grants {
				held = append(held, gr.Grant)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				before := g.keeper.sequence.Load()
				g.release([]domain.Release{{Grant: held[i%len(held)], Reason: domain.ReleaseDone, OutputTokens: 300}})
				if g.keeper.sequence.Load() != before+1 {
					b.Fatal("the slot was not granted again")
				}
				id := domain.GrantID(fmt.Sprintf("%s/%x/%x", g.keeper.cfg.Self, g.keeper.epoch, before+1))
				held[i%len(held)] = g.grants[id].Grant
				g.mu.Lock()
				g.enqueue(next(), time.Now())
				g.mu.Unlock()
				i++
			}
		})
	}
}
