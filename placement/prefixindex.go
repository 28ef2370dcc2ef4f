package placement

import (
	"math/bits"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// noEntry is the null link in the linked list of entries.
const noEntry = -1

// PrefixIndex records which upstreams have which pieces of prompts in their
// prefix caches. It is built from cache events (Apply, Expect), which may be late
// or lost, or from what was sent to the upstreams (Hold, Release). It is only a
// hint: it may list pieces that are no longer cached and lack pieces that are. Its memory is bounded: when it is full, the least
// recently used piece is evicted. It is not safe for concurrent use.
type PrefixIndex struct {
	// capacity is the maximum number of pieces.
	capacity int
	// wordsPerSet is the number of 64-bit words in a bitset of upstreams.
	wordsPerSet int
	byKey       map[domain.PieceKey]int32
	entries     []pieceEntry
	// holders and unconfirmed are bitsets of upstreams, one of wordsPerSet
	// words for each entry, in the order of entries. An unconfirmed holder has
	// not been confirmed by an event since the last gap.
	holders, unconfirmed []uint64
	// newest and oldest are the ends of the list of entries by last use.
	newest, oldest int32
	// sequences, hasSequence and stale describe the applied events of each
	// upstream.
	sequences   []uint64
	hasSequence []bool
	stale       []bool
	// matching, confirmed and matched are working state of Match.
	matching  []uint64
	confirmed []uint64
	matched   []int32
}

type pieceEntry struct {
	key          domain.PieceKey
	newer, older int32
}

// NewPrefixIndex returns an index of at most capacity pieces for the given
// number of upstreams, which are identified by their position from 0.
func NewPrefixIndex(upstreams, capacity int) *PrefixIndex {
	wordsPerSet := max(1, (upstreams+63)/64)
	return &PrefixIndex{
		capacity:    max(1, capacity),
		wordsPerSet: wordsPerSet,
		byKey:       make(map[domain.PieceKey]int32),
		entries:     make([]pieceEntry, 0, min(capacity, 1024)),
		newest:      noEntry,
		oldest:      noEntry,
		sequences:   make([]uint64, upstreams),
		hasSequence: make([]bool, upstreams),
		stale:       make([]bool, upstreams),
		matching:    make([]uint64, wordsPerSet),
		confirmed:   make([]uint64, wordsPerSet),
		matched:     make([]int32, upstreams),
	}
}

// Len returns the number of pieces in the index.
func (x *PrefixIndex) Len() int { return len(x.byKey) }

// Stale reports whether events of an upstream were lost, so that some of its
// entries may be unconfirmed.
func (x *PrefixIndex) Stale(upstream int) bool { return x.stale[upstream] }

// Sequence returns the sequence number of the last applied event of an
// upstream.
func (x *PrefixIndex) Sequence(upstream int) uint64 { return x.sequences[upstream] }

// Apply applies events of one upstream. Events that are not newer than the
// last applied one are ignored. A gap in the sequence numbers makes all
// entries of the upstream unconfirmed.
func (x *PrefixIndex) Apply(upstream int, events []ports.CacheEvent) {
	for _, e := range events {
		if x.hasSequence[upstream] && e.Sequence <= x.sequences[upstream] {
			continue
		}
		if e.Sequence != x.sequences[upstream]+1 {
			x.markStale(upstream)
		}
		x.sequences[upstream], x.hasSequence[upstream] = e.Sequence, true
		if e.Removed {
			x.removeHolder(upstream, e.Key)
			continue
		}
		x.addHolder(upstream, e.Key, false)
	}
}

// Expect records that an upstream will hold the pieces of a prompt whose
// prefill was granted there. The entries stay unconfirmed until an event
// confirms them.
func (x *PrefixIndex) Expect(upstream int, keys []domain.PieceKey) {
	for _, key := range keys {
		x.addHolder(upstream, key, true)
	}
}

// Forget removes all entries of an upstream after it was restarted.
func (x *PrefixIndex) Forget(upstream int) {
	word, bit := upstream/64, uint64(1)<<(upstream%64)
	for i := range x.entries {
		at := i*x.wordsPerSet + word
		x.holders[at] &^= bit
		x.unconfirmed[at] &^= bit
	}
	x.sequences[upstream], x.hasSequence[upstream], x.stale[upstream] = 0, false, false
}

// Match returns, for each upstream by position, how many leading pieces of a
// prompt it holds. If any of these is unconfirmed, the number is halved and
// rounded up. Matched pieces become the most recently used. The result is
// valid until the next call.
func (x *PrefixIndex) Match(keys []domain.PieceKey) []int32 {
	clear(x.matched)
	for w := range x.matching {
		x.matching[w], x.confirmed[w] = ^uint64(0), ^uint64(0)
	}
	for count, key := range keys {
		at, ok := x.byKey[key]
		if !ok {
			x.recordMatch(count)
			return x.matched
		}
		x.markUsed(at)
		if !x.intersect(int(at), count) {
			return x.matched
		}
	}
	x.recordMatch(len(keys))
	return x.matched
}

// intersect keeps the matching upstreams that also hold an entry, and records
// count pieces for those that don't. It reports whether any upstream still
// matches.
func (x *PrefixIndex) intersect(at, count int) bool {
	remaining := uint64(0)
	for w := range x.matching {
		held := x.holders[at*x.wordsPerSet+w]
		x.recordMatchWord(w, count, x.matching[w]&^held)
		x.matching[w] &= held
		x.confirmed[w] &^= x.unconfirmed[at*x.wordsPerSet+w]
		remaining |= x.matching[w]
	}
	return remaining != 0
}

// recordMatch records the number of matched pieces for all upstreams that
// still match.
func (x *PrefixIndex) recordMatch(count int) {
	for w, set := range x.matching {
		x.recordMatchWord(w, count, set)
	}
}

func (x *PrefixIndex) recordMatchWord(w, count int, set uint64) {
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
		if x.confirmed[w]&(1<<bit) == 0 {
			pieces = (count + 1) / 2
		}
		x.matched[upstream] = int32(pieces)
	}
}
