package placement

import (
	"slices"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

func wantMatch(t *testing.T, x *PrefixIndex, keys []domain.PieceKey, want ...int32) {
	t.Helper()
	if got := x.Match(keys); !slices.Equal(got, want) {
		t.Errorf("matched %v, want %v", got, want)
	}
}

func TestLongestPrefixOfEachUpstream(t *testing.T) {
	x := NewPrefixIndex(4, 100)
	x.Apply(0, storedEvents(1, 1, 2, 3))
	x.Apply(1, storedEvents(1, 1, 2))
	x.Apply(2, storedEvents(1, 2, 3))
	wantMatch(t, x, []domain.PieceKey{1, 2, 3, 4}, 3, 2, 0, 0)
	x.Apply(0, []ports.CacheEvent{{Sequence: 4, Key: 2, Removed: true}})
	wantMatch(t, x, []domain.PieceKey{1, 2, 3}, 1, 2, 0, 0)
}

func TestLateAndDuplicateEventsAreIgnored(t *testing.T) {
	x := NewPrefixIndex(1, 100)
	x.Apply(0, storedEvents(1, 1, 2))
	x.Apply(0, []ports.CacheEvent{{Sequence: 3, Key: 1, Removed: true}})
	x.Apply(0, storedEvents(1, 1, 2))
	wantMatch(t, x, []domain.PieceKey{1, 2}, 0)
	if x.Stale(0) {
		t.Error("stale without a gap")
	}
}

// TestEventGapMakesEntriesUnconfirmed checks that after lost events the pieces
// of an upstream count half until new events confirm them.
func TestEventGapMakesEntriesUnconfirmed(t *testing.T) {
	x := NewPrefixIndex(2, 100)
	keys := []domain.PieceKey{1, 2, 3, 4}
	x.Apply(0, storedEvents(1, keys...))
	x.Apply(1, storedEvents(1, keys...))
	x.Apply(0, storedEvents(9, 50))
	if !x.Stale(0) || x.Stale(1) {
		t.Error("want upstream 0 stale after its gap, and only it")
	}
	wantMatch(t, x, keys, 2, 4)
	x.Apply(0, storedEvents(10, keys...))
	wantMatch(t, x, keys, 4, 4)
	x.Forget(0)
	wantMatch(t, x, keys, 0, 4)
}

func TestExpectedPiecesCountHalf(t *testing.T) {
	x := NewPrefixIndex(1, 100)
	keys := []domain.PieceKey{1, 2, 3, 4}
	x.Expect(0, keys)
	wantMatch(t, x, keys, 2)
	x.Apply(0, storedEvents(1, keys...))
	x.Expect(0, keys)
	wantMatch(t, x, keys, 4)
}

func TestIndexEvictsLeastRecentlyUsedPieces(t *testing.T) {
	const capacity = 8
	x := NewPrefixIndex(1, capacity)
	for i := range 100 {
		x.Apply(0, storedEvents(uint64(i+1), domain.PieceKey(i+1)))
		x.Match([]domain.PieceKey{1})
	}
	if x.Len() != capacity {
		t.Errorf("%d pieces in an index of %d", x.Len(), capacity)
	}
	wantMatch(t, x, []domain.PieceKey{1}, 1)
	wantMatch(t, x, []domain.PieceKey{100}, 1)
	wantMatch(t, x, []domain.PieceKey{50}, 0)
}

// Pieces that were released by all their holders must not take the place of held ones.
func TestReleasedPiecesAreEvictedFirst(t *testing.T) {
	x := NewPrefixIndex(2, 2)
	x.Hold(0, 1)
	x.Hold(0, 2)
	x.Hold(1, 2)
	x.Release(0, 2)
	if x.Holders(2) != 1 {
		t.Errorf("%d holders, want 1", x.Holders(2))
	}
	x.Release(1, 2)
	x.Hold(1, 3)
	wantMatch(t, x, []domain.PieceKey{1}, 1, 0)
	wantMatch(t, x, []domain.PieceKey{3}, 0, 1)
	wantMatch(t, x, []domain.PieceKey{2}, 0, 0)
}
