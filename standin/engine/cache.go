package engine

import (
	"container/list"

	"zinniamast"
)

// prefixCache is an LRU cache that maps a prefix hash to the number of tokens
// that the prefix covers.
type prefixCache struct {
	limit int
	order *list.List
	byKey map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit: limit,
		order: list.New(),
		byKey: map[uint64]*list.Element{},
	}
}

// coveredTokens returns the number of tokens cached for a key and marks the
// entry as recently used.
func (c *prefixCache) coveredTokens(key uint64) int {
	element, ok := c.byKey[key]
	if !ok {
		return 0
	}
	c.order.MoveToFront(element)
	return element.Value.(*cacheEntry).tokens
}

// put stores a prefix and returns the key that it evicted, or zero.
func (c *prefixCache) put(key uint64, tokens int) (evicted uint64) {
	if element, ok := c.byKey[key]; ok {
		entry := element.Value.(*cacheEntry)
		entry.tokens = max(entry.tokens, tokens)
		c.order.MoveToFront(element)
		return 0
	}
	c.byKey[key] = c.order.PushFront(&cacheEntry{
		key:    key,
		tokens: tokens,
	})
	if c.order.Len() <= c.limit {
		return 0
	}
	last := c.order.Back()
	evicted = last.Value.(*cacheEntry).key
	c.order.Remove(last)
	delete(c.byKey, evicted)
	return evicted
}

// cachePrefix caches a prefix and records the cache events; the caller holds
// the lock.
func (e *Engine) cachePrefix(key uint64, tokens int) {
	if evicted := e.cache.put(key, tokens); evicted != 0 {
		e.appendCacheEvent(evicted, 0, true)
	}
	e.appendCacheEvent(key, tokens, false)
}

const maxEvents = 1024

// appendCacheEvent appends a cache event; the caller holds the lock.
func (e *Engine) appendCacheEvent(prefix uint64, tokens int, evicted bool) {
	sequence := uint64(1)
	if n := len(e.events); n > 0 {
		sequence = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, zinniamast.CacheEvent{
		Sequence: sequence,
		Prefix:   prefix,
		Tokens:   tokens,
		Evicted:  evicted,
	})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}
