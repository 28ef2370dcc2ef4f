// Package bounded has a map with a bounded number of entries.
package bounded

// Map is a map with at most maxEntries entries. When it is full, the entry that was
// put first is evicted.
type Map[K comparable, V any] struct {
	maxEntries int
	// Entries may be read, and changed for keys that it holds.
	Entries map[K]V
	// insertionOrder lists the keys in the order in which they were put. Until compact
	// it may also hold removed keys, and a key more than once.
	insertionOrder []K
}

// New returns an empty map for at most maxEntries entries.
func New[K comparable, V any](maxEntries int) *Map[K, V] {
	return &Map[K, V]{maxEntries: maxEntries, Entries: make(map[K]V)}
}

// Put sets the value of a key. It keeps the place of a key in the order of eviction.
func (b *Map[K, V]) Put(key K, v V) {
	if _, ok := b.Entries[key]; !ok {
		b.evict()
		b.insertionOrder = append(b.insertionOrder, key)
	}
	b.Entries[key] = v
}

// Remove removes a key.
func (b *Map[K, V]) Remove(key K) { delete(b.Entries, key) }

func (b *Map[K, V]) evict() {
	for len(b.Entries) >= b.maxEntries {
		delete(b.Entries, b.insertionOrder[0])
		b.insertionOrder = b.insertionOrder[1:]
	}
	if len(b.insertionOrder) >= 2*b.maxEntries {
		b.compact()
	}
}

// compact drops removed keys from insertionOrder, and all but the last occurrence of
// keys that were put several times.
func (b *Map[K, V]) compact() {
	seen := make(map[K]bool, len(b.Entries))
	kept := make([]K, 0, len(b.Entries))
	for i := len(b.insertionOrder) - 1; i >= 0; i-- {
		key := b.insertionOrder[i]
		if _, ok := b.Entries[key]; ok && !seen[key] {
			seen[key] = true
			kept = append(kept, key)
		}
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	b.insertionOrder = kept
}
