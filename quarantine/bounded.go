package quarantine

// boundedMap is a map by fingerprint with at most maxEntries entries. When it is full,
// the entry that was put first is evicted.
type boundedMap[V any] struct {
	maxEntries int
	entries    map[uint64]V
	// insertionOrder lists the keys in the order in which they were put. Until compact
	// it may also hold removed keys, and a key more than once.
	insertionOrder []uint64
}

func newBoundedMap[V any](maxEntries int) *boundedMap[V] {
	return &boundedMap[V]{maxEntries: maxEntries, entries: make(map[uint64]V)}
}

func (b *boundedMap[V]) put(key uint64, v V) {
	if _, ok := b.entries[key]; !ok {
		b.evict()
		b.insertionOrder = append(b.insertionOrder, key)
	}
	b.entries[key] = v
}

func (b *boundedMap[V]) remove(key uint64) { delete(b.entries, key) }

func (b *boundedMap[V]) evict() {
	for len(b.entries) >= b.maxEntries {
		delete(b.entries, b.insertionOrder[0])
		b.insertionOrder = b.insertionOrder[1:]
	}
	if len(b.insertionOrder) >= 2*b.maxEntries {
		b.compact()
	}
}

// compact drops removed keys from insertionOrder, and all but the last occurrence of
// keys that were put several times.
func (b *boundedMap[V]) compact() {
	seen := make(map[uint64]bool, len(b.entries))
	kept := make([]uint64, 0, len(b.entries))
	for i := len(b.insertionOrder) - 1; i >= 0; i-- {
		key := b.insertionOrder[i]
		if _, ok := b.entries[key]; ok && !seen[key] {
			seen[key] = true
			kept = append(kept, key)
		}
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	b.insertionOrder = kept
}
