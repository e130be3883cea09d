package experiment

import (
	"time"

	"zinniamast"
	"zinniamast/prefix"
)

// blockCache is a prefix cache of limited size that evicts the least recently used blocks.
type blockCache struct {
	capacityTokens int
	heldTokens     int
	useCount       int
	lastUsed       map[uint64]int
	blockTokens    map[uint64]int
	sequence       uint64
	events         []zinniamast.CacheEvent
	// eventTimes holds the time of each event.
	eventTimes []time.Time
	now        func() time.Time
}

func newBlockCache(capacityTokens int, now func() time.Time) *blockCache {
	return &blockCache{
		capacityTokens: capacityTokens,
		now:            now,
		lastUsed:       map[uint64]int{},
		blockTokens:    map[uint64]int{},
	}
}

// lookup returns how many leading tokens of a prompt are cached and marks their
// blocks as used, the longest prefix first, so that the end of a prompt is
// evicted before its beginning.
func (c *blockCache) lookup(hashes []uint64) int {
	longest := 0
	for longest < len(hashes) && c.lastUsed[hashes[longest]] != 0 {
		longest++
	}
	if longest == 0 {
		return 0
	}
	c.touch(hashes[:longest])
	return prefix.Tokens(longest - 1)
}

func (c *blockCache) touch(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.useCount++
		c.lastUsed[hashes[i]] = c.useCount
	}
}

// add caches the blocks of a prompt and evicts others until the cache fits its capacity.
func (c *blockCache) add(hashes []uint64) {
	before := 0
	for i, hash := range hashes {
		tokens := prefix.Tokens(i)
		if c.lastUsed[hash] == 0 {
			c.blockTokens[hash] = tokens - before
			c.heldTokens += tokens - before
			c.recordEvent(hash, tokens, false)
		}
		before = tokens
	}
	c.touch(hashes)
	for c.heldTokens > c.capacityTokens {
		c.evict()
	}
}

func (c *blockCache) evict() {
	oldest, hash := c.useCount+1, uint64(0)
	for candidate, used := range c.lastUsed {
		if used < oldest {
			oldest, hash = used, candidate
		}
	}
	c.heldTokens -= c.blockTokens[hash]
	delete(c.lastUsed, hash)
	delete(c.blockTokens, hash)
	c.recordEvent(hash, 0, true)
}

func (c *blockCache) recordEvent(hash uint64, tokens int, evicted bool) {
	c.sequence++
	c.events = append(c.events, zinniamast.CacheEvent{
		Sequence: c.sequence,
		Prefix:   hash,
		Tokens:   tokens,
		Evicted:  evicted,
	})
	c.eventTimes = append(c.eventTimes, c.now())
}

// since returns the events after a sequence number that happened up to a time.
func (c *blockCache) since(after uint64, until time.Time) []zinniamast.CacheEvent {
	to := int(after)
	for to < len(c.events) && !c.eventTimes[to].After(until) {
		to++
	}
	return c.events[min(int(after), to):to]
}
