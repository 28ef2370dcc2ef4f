// Package shard provides a map that is split into shards, each under its own
// lock, for state that many goroutines touch.
package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a Map. It is a power of two.
const Count = 32

// Map is a sharded map. The zero value is not usable; call NewMap.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [Count]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shard(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Count]
}

// Load returns the value of a key.
func (m *Map[K, V]) Load(key K) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	return v, ok
}

// Store sets the value of a key.
func (m *Map[K, V]) Store(key K, value V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, key)
}

// Update calls f with the value of a key under the shard's lock. f returns the
// new value and whether to keep the key. f must not call the map.
func (m *Map[K, V]) Update(key K, f func(value V, ok bool) (V, bool)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.m[key]
	value, keep := f(old, ok)
	if keep {
		s.m[key] = value
		return
	}
	delete(s.m, key)
}

// Values returns a copy of all values, shard by shard.
func (m *Map[K, V]) Values() []V {
	var out []V
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, v := range s.m {
			out = append(out, v)
		}
		s.mu.Unlock()
	}
	return out
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}
