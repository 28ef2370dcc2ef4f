package placement

import (
	"math/bits"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// none marks the absence of an entry in the index's linked list.
const none = -1

// PrefixIndex records which prefill upstreams hold which pieces of prompts, from
// cache events that come late and with gaps. It is a hint: an entry may be wrong
// in either direction. Its memory is bounded: the piece used least recently is
// dropped when it is full. It is not safe for concurrent use.
type PrefixIndex struct {
	// capacity is the largest number of pieces.
	capacity int
	// words is the number of 64-bit words of one set of upstreams.
	words   int
	byKey   map[domain.PieceKey]int32
	entries []pieceEntry
	// holders and doubtful are sets of upstreams, words each, in the order of
	// entries. A doubtful holder is not confirmed by an event since the last gap.
	holders, doubtful []uint64
	newest, oldest    int32
	sequences         []uint64
	seen              []bool
	stale             []bool
	current           []uint64
	certain           []uint64
	matched           []int32
}

type pieceEntry struct {
	key          domain.PieceKey
	newer, older int32
}

// NewPrefixIndex returns an index of at most capacity pieces for the given
// number of upstreams, which are named by their position.
func NewPrefixIndex(upstreams, capacity int) *PrefixIndex {
	words := max(1, (upstreams+63)/64)
	return &PrefixIndex{
		capacity:  max(1, capacity),
		words:     words,
		byKey:     make(map[domain.PieceKey]int32),
		entries:   make([]pieceEntry, 0, min(capacity, 1024)),
		newest:    none,
		oldest:    none,
		sequences: make([]uint64, upstreams),
		seen:      make([]bool, upstreams),
		stale:     make([]bool, upstreams),
		current:   make([]uint64, words),
		certain:   make([]uint64, words),
		matched:   make([]int32, upstreams),
	}
}

// Len returns the number of pieces in the index.
func (x *PrefixIndex) Len() int { return len(x.byKey) }

// Stale returns whether events of an upstream were lost, so that a part of what
// the index knows of it is not confirmed.
func (x *PrefixIndex) Stale(upstream int) bool { return x.stale[upstream] }

// Sequence returns the number of the last event that was applied.
func (x *PrefixIndex) Sequence(upstream int) uint64 { return x.sequences[upstream] }

// Apply takes in events of one upstream. Events that are older than the last one
// are ignored. A gap in the numbers marks all that is known of the upstream as
// doubtful.
func (x *PrefixIndex) Apply(upstream int, events []ports.CacheEvent) {
	for _, e := range events {
		if x.seen[upstream] && e.Sequence <= x.sequences[upstream] {
			continue
		}
		if e.Sequence != x.sequences[upstream]+1 {
			x.markStale(upstream)
		}
		x.sequences[upstream], x.seen[upstream] = e.Sequence, true
		if e.Removed {
			x.removeHolder(upstream, e.Key)
			continue
		}
		x.addHolder(upstream, e.Key, false)
	}
}

// Expect records that an upstream will hold the pieces of a prompt whose prefill
// was granted there. They stay doubtful until an event confirms them.
func (x *PrefixIndex) Expect(upstream int, keys []domain.PieceKey) {
	for _, key := range keys {
		x.addHolder(upstream, key, true)
	}
}

// Forget drops all that is known of an upstream, after it was restarted.
func (x *PrefixIndex) Forget(upstream int) {
	word, bit := upstream/64, uint64(1)<<(upstream%64)
	for i := range x.entries {
		at := i*x.words + word
		x.holders[at] &^= bit
		x.doubtful[at] &^= bit
	}
	x.sequences[upstream], x.seen[upstream], x.stale[upstream] = 0, false, false
}

// Match returns how many of the first pieces of a prompt each upstream holds, by
// position. Of pieces that are not confirmed only half are counted. Used pieces
// become the newest. The result is valid until the next call.
func (x *PrefixIndex) Match(keys []domain.PieceKey) []int32 {
	clear(x.matched)
	for w := range x.current {
		x.current[w], x.certain[w] = ^uint64(0), ^uint64(0)
	}
	for count, key := range keys {
		at, ok := x.byKey[key]
		if !ok {
			x.record(count)
			return x.matched
		}
		x.touch(at)
		if !x.narrow(int(at), count) {
			return x.matched
		}
	}
	x.record(len(keys))
	return x.matched
}

// narrow keeps the upstreams that hold one more piece and records the others.
// It returns whether any is left.
func (x *PrefixIndex) narrow(at, count int) bool {
	left := uint64(0)
	for w := range x.current {
		held := x.holders[at*x.words+w]
		x.recordWord(w, count, x.current[w]&^held)
		x.current[w] &= held
		x.certain[w] &^= x.doubtful[at*x.words+w]
		left |= x.current[w]
	}
	return left != 0
}

// record notes the number of matched pieces for all upstreams that are left.
func (x *PrefixIndex) record(count int) {
	for w, set := range x.current {
		x.recordWord(w, count, set)
	}
}

func (x *PrefixIndex) recordWord(w, count int, set uint64) {
	if count == 0 {
		return
	}
	for set != 0 {
		bit := bits.TrailingZeros64(set)
		set &^= 1 << bit
		upstream := w*64 + bit
		if upstream >= len(x.matched) {
			return
		}
		pieces := count
		if x.certain[w]&(1<<bit) == 0 {
			pieces = (count + 1) / 2
		}
		x.matched[upstream] = int32(pieces)
	}
}
