package placement

import (
	"math/bits"

	"greengagespoke/domain"
)

// DefaultIndexPieces is the default capacity of a PrefixIndex in pieces.
const DefaultIndexPieces = 1 << 16

func (x *PrefixIndex) addHolder(upstream int, key domain.PieceKey, unconfirmed bool) {
	at, ok := x.byKey[key]
	if ok {
		x.markUsed(at)
	} else {
		at = x.insert(key)
	}
	word, bit := int(at)*x.wordsPerSet+upstream/64, uint64(1)<<(upstream%64)
	known := x.holders[word]&bit != 0
	x.holders[word] |= bit
	if !unconfirmed {
		x.unconfirmed[word] &^= bit
	} else if !known {
		x.unconfirmed[word] |= bit
	}
}

// Hold records that an upstream holds a piece, as known from what was sent there
// rather than from an event.
func (x *PrefixIndex) Hold(upstream int, key domain.PieceKey) { x.addHolder(upstream, key, false) }

// Release records that an upstream no longer holds a piece. A piece without
// holders is the next one to be evicted.
func (x *PrefixIndex) Release(upstream int, key domain.PieceKey) {
	x.removeHolder(upstream, key)
	if at, ok := x.byKey[key]; ok && x.Holders(key) == 0 {
		x.unlink(at)
		x.linkOldest(at)
	}
}

// Holders returns the number of upstreams that hold a piece.
func (x *PrefixIndex) Holders(key domain.PieceKey) int {
	at, ok := x.byKey[key]
	if !ok {
		return 0
	}
	count := 0
	from := int(at) * x.wordsPerSet
	for _, word := range x.holders[from : from+x.wordsPerSet] {
		count += bits.OnesCount64(word)
	}
	return count
}

func (x *PrefixIndex) removeHolder(upstream int, key domain.PieceKey) {
	at, ok := x.byKey[key]
	if !ok {
		return
	}
	word, bit := int(at)*x.wordsPerSet+upstream/64, uint64(1)<<(upstream%64)
	x.holders[word] &^= bit
	x.unconfirmed[word] &^= bit
}

// markStale makes all entries of an upstream unconfirmed.
func (x *PrefixIndex) markStale(upstream int) {
	if !x.hasSequence[upstream] {
		return
	}
	x.stale[upstream] = true
	word, bit := upstream/64, uint64(1)<<(upstream%64)
	for i := range x.entries {
		at := i*x.wordsPerSet + word
		x.unconfirmed[at] |= x.holders[at] & bit
	}
}

// insert returns a new entry for a key. If the index is full, the least
// recently used piece is evicted.
func (x *PrefixIndex) insert(key domain.PieceKey) int32 {
	var at int32
	if len(x.entries) < x.capacity {
		at = int32(len(x.entries))
		x.entries = append(x.entries, pieceEntry{})
		for range x.wordsPerSet {
			x.holders = append(x.holders, 0)
			x.unconfirmed = append(x.unconfirmed, 0)
		}
	} else {
		at = x.oldest
		x.unlink(at)
		delete(x.byKey, x.entries[at].key)
		from := int(at) * x.wordsPerSet
		clear(x.holders[from : from+x.wordsPerSet])
		clear(x.unconfirmed[from : from+x.wordsPerSet])
	}
	x.entries[at].key = key
	x.byKey[key] = at
	x.linkNewest(at)
	return at
}

func (x *PrefixIndex) markUsed(at int32) {
	if x.newest == at {
		return
	}
	x.unlink(at)
	x.linkNewest(at)
}

func (x *PrefixIndex) linkNewest(at int32) {
	x.entries[at].newer = noEntry
	x.entries[at].older = x.newest
	if x.newest != noEntry {
		x.entries[x.newest].newer = at
	}
	x.newest = at
	if x.oldest == noEntry {
		x.oldest = at
	}
}

func (x *PrefixIndex) linkOldest(at int32) {
	x.entries[at].older = noEntry
	x.entries[at].newer = x.oldest
	if x.oldest != noEntry {
		x.entries[x.oldest].older = at
	}
	x.oldest = at
	if x.newest == noEntry {
		x.newest = at
	}
}

func (x *PrefixIndex) unlink(at int32) {
	e := x.entries[at]
	if e.newer == noEntry {
		x.newest = e.older
	} else {
		x.entries[e.newer].older = e.older
	}
	if e.older == noEntry {
		x.oldest = e.newer
	} else {
		x.entries[e.older].newer = e.newer
	}
}
