package bounded

import "testing"

// Entries and the order of their keys must stay bounded, also if entries are removed and put
// again.
func TestMapIsBounded(t *testing.T) {
	const most = 8
	m := New[int, int](most)
	for i := range 100 * most {
		m.Put(i%(3*most), i)
		if i%3 == 0 {
			m.Remove(i % (3 * most))
		}
		if len(m.Entries) > most || len(m.insertionOrder) > 2*most {
			t.Fatalf("%d entries, %d keys in order", len(m.Entries), len(m.insertionOrder))
		}
	}
}

// The entry that was put first is the one that is evicted.
func TestOldestEntryIsEvicted(t *testing.T) {
	m := New[string, int](2)
	for _, key := range []string{"a", "b", "c"} {
		m.Put(key, 1)
	}
	if _, kept := m.Entries["a"]; kept || len(m.Entries) != 2 {
		t.Errorf("the entries are %v, want b and c", m.Entries)
	}
}
