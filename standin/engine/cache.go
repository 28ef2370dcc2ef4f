package engine

import (
	"container/list"

	"greengagespoke/domain"
)

// prefixCache is a least-recently-used set of piece keys with limited memory.
type prefixCache struct {
	limit int
	order *list.List
	byKey map[domain.PieceKey]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit: limit,
		order: list.New(),
		byKey: make(map[domain.PieceKey]*list.Element),
	}
}

// match returns the number of leading keys in the cache and marks them as used.
func (c *prefixCache) match(keys []domain.PieceKey) int {
	for i, key := range keys {
		element, ok := c.byKey[key]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(keys)
}

// peek returns the number of leading keys in the cache.
func (c *prefixCache) peek(keys []domain.PieceKey) int {
	for i, key := range keys {
		if _, ok := c.byKey[key]; !ok {
			return i
		}
	}
	return len(keys)
}

// store puts the keys into the cache. It returns the keys that are new and those
// that made room for them. Earlier pieces of a prompt outlive later ones.
func (c *prefixCache) store(keys []domain.PieceKey) (stored, removed []domain.PieceKey) {
	if len(keys) > c.limit {
		keys = keys[:c.limit]
	}
	for i := len(keys) - 1; i >= 0; i-- {
		key := keys[i]
		if element, ok := c.byKey[key]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.byKey[key] = c.order.PushFront(key)
		stored = append(stored, key)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		key := c.order.Remove(oldest).(domain.PieceKey)
		delete(c.byKey, key)
		removed = append(removed, key)
	}
	return stored, removed
}
