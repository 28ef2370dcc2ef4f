package routing

import (
	"testing"

	"pgregory.net/rapid"

	"greengagespoke/domain"
)

// TestSequencerDeliversOnceInOrder feeds late, duplicate and reordered frames.
func TestSequencerDeliversOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delivered := rapid.IntRange(0, 5).Draw(t, "delivered")
		count := rapid.IntRange(1, 40).Draw(t, "count")
		var numbers []int
		for n := delivered + 1; n <= delivered+count; n++ {
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				numbers = append(numbers, n)
			}
		}
		numbers = append(numbers, rapid.SliceOf(rapid.IntRange(1, max(1, delivered))).Draw(t, "old")...)
		s := newSequencer(delivered)
		var got []int
		for _, n := range rapid.Permutation(numbers).Draw(t, "order") {
			f := domain.Frame{Number: n}
			if !s.accept(f) {
				s.buffer(f)
				continue
			}
			for ok := true; ok; f, ok = s.pop() {
				got = append(got, f.Number)
			}
		}
		if len(got) != count || s.hasGap() {
			t.Fatalf("delivered %d frames of %d, gap %v", len(got), count, s.hasGap())
		}
		for i, n := range got {
			if n != delivered+1+i {
				t.Fatalf("frame %d at position %d", n, i)
			}
		}
	})
}
