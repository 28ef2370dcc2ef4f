package quarantine

// bounded is a map by fingerprint of at most limit entries. The entry that was
// put first is dropped where there is no room.
type bounded[V any] struct {
	limit   int
	entries map[uint64]V
	// order lists the keys in the order in which they were put, with some that
	// were removed since.
	order []uint64
}

func newBounded[V any](limit int) *bounded[V] {
	return &bounded[V]{limit: limit, entries: make(map[uint64]V)}
}

func (b *bounded[V]) put(key uint64, v V) {
	if _, ok := b.entries[key]; !ok {
		b.makeRoom()
		b.order = append(b.order, key)
	}
	b.entries[key] = v
}

func (b *bounded[V]) remove(key uint64) { delete(b.entries, key) }

func (b *bounded[V]) makeRoom() {
	for len(b.entries) >= b.limit {
		delete(b.entries, b.order[0])
		b.order = b.order[1:]
	}
	if len(b.order) >= 2*b.limit {
		b.compact()
	}
}

// compact drops removed keys, and all but the last of keys put several times.
func (b *bounded[V]) compact() {
	seen := make(map[uint64]bool, len(b.entries))
	kept := make([]uint64, 0, len(b.entries))
	for i := len(b.order) - 1; i >= 0; i-- {
		key := b.order[i]
		if _, ok := b.entries[key]; ok && !seen[key] {
			seen[key] = true
			kept = append(kept, key)
		}
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	b.order = kept
}
