package placement

import "greengagespoke/domain"

// DefaultIndexPieces is the usual capacity of an index in pieces.
const DefaultIndexPieces = 1 << 16

func (x *PrefixIndex) addHolder(upstream int, key domain.PieceKey, doubtful bool) {
	at, ok := x.byKey[key]
	if ok {
		x.touch(at)
	} else {
		at = x.insert(key)
	}
	word, bit := int(at)*x.words+upstream/64, uint64(1)<<(upstream%64)
	known := x.holders[word]&bit != 0
	x.holders[word] |= bit
	if !doubtful {
		x.doubtful[word] &^= bit
	} else if !known {
		x.doubtful[word] |= bit
	}
}

func (x *PrefixIndex) removeHolder(upstream int, key domain.PieceKey) {
	at, ok := x.byKey[key]
	if !ok {
		return
	}
	word, bit := int(at)*x.words+upstream/64, uint64(1)<<(upstream%64)
	x.holders[word] &^= bit
	x.doubtful[word] &^= bit
}

// markStale makes all holdings of an upstream doubtful.
func (x *PrefixIndex) markStale(upstream int) {
	if !x.seen[upstream] {
		return
	}
	x.stale[upstream] = true
	word, bit := upstream/64, uint64(1)<<(upstream%64)
	for i := range x.entries {
		at := i*x.words + word
		x.doubtful[at] |= x.holders[at] & bit
	}
}

// insert returns a fresh entry for a key and drops the oldest where the index
// is full.
func (x *PrefixIndex) insert(key domain.PieceKey) int32 {
	var at int32
	if len(x.entries) < x.capacity {
		at = int32(len(x.entries))
		x.entries = append(x.entries, pieceEntry{})
		for range x.words {
			x.holders = append(x.holders, 0)
			x.doubtful = append(x.doubtful, 0)
		}
	} else {
		at = x.oldest
		x.unlink(at)
		delete(x.byKey, x.entries[at].key)
		from := int(at) * x.words
		clear(x.holders[from : from+x.words])
		clear(x.doubtful[from : from+x.words])
	}
	x.entries[at].key = key
	x.byKey[key] = at
	x.linkNewest(at)
	return at
}

func (x *PrefixIndex) touch(at int32) {
	if x.newest == at {
		return
	}
	x.unlink(at)
	x.linkNewest(at)
}

func (x *PrefixIndex) linkNewest(at int32) {
	x.entries[at].newer = none
	x.entries[at].older = x.newest
	if x.newest != none {
		x.entries[x.newest].newer = at
	}
	x.newest = at
	if x.oldest == none {
		x.oldest = at
	}
}

func (x *PrefixIndex) unlink(at int32) {
	e := x.entries[at]
	if e.newer == none {
		x.newest = e.older
	} else {
		x.entries[e.newer].older = e.older
	}
	if e.older == none {
		x.oldest = e.newer
	} else {
		x.entries[e.older].newer = e.newer
	}
}
