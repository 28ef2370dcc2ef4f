package placement

import (
	"fmt"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// promptPieces is the number of pieces in a benchmark prompt.
const promptPieces = 10

func keysFrom(start int) []domain.PieceKey {
	keys := make([]domain.PieceKey, promptPieces)
	for i := range keys {
		keys[i] = domain.PieceKey(start*promptPieces + i + 1)
	}
	return keys
}

// BenchmarkDecide measures one decision over a group with the given number of
// upstreams. A third of them are prefill upstreams, some of which have the
// prompt's prefix in the cache.
func BenchmarkDecide(b *testing.B) {
	for _, upstreams := range []int{10, 150, 1800} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			prefills := upstreams / 3
			snap := newTestSnapshot(prefills, upstreams-prefills)
			index := NewPrefixIndex(prefills, DefaultIndexPieces)
			for i := 0; i < prefills; i += 7 {
				index.Apply(i, storedEvents(1, keysFrom(0)...))
			}
			scheduler, d := NewScheduler(index), &Decision{}
			r := &Request{Zone: 1, PromptTokens: 10_300, Pieces: 11, Keys: keysFrom(0)}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := scheduler.Decide(snap, r, d); !ok {
					b.Fatal("no pair")
				}
			}
		})
	}
}

// BenchmarkIndexInsert measures the application of one cache event to a full
// index.
func BenchmarkIndexInsert(b *testing.B) {
	index := NewPrefixIndex(64, DefaultIndexPieces)
	event := make([]ports.CacheEvent, 1)
	insert := func(i int) {
		event[0] = ports.CacheEvent{Sequence: uint64(i), Key: domain.PieceKey(i)}
		index.Apply(0, event)
	}
	for i := range DefaultIndexPieces {
		insert(i + 1)
	}
	i := DefaultIndexPieces
	b.ReportAllocs()
	for b.Loop() {
		i++
		insert(i)
	}
}

// BenchmarkIndexMatch measures the lookup of a prompt of ten pieces.
func BenchmarkIndexMatch(b *testing.B) {
	for _, upstreams := range []int{64, 1800} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			index := NewPrefixIndex(upstreams, DefaultIndexPieces)
			for i := range DefaultIndexPieces / promptPieces {
				index.Expect(i%upstreams, keysFrom(i))
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				index.Match(keysFrom(i % (DefaultIndexPieces / promptPieces)))
			}
		})
	}
}
