package routing

// cacheState estimates the state of a replica's prefix cache, whose size is limited.
type cacheState struct {
	// insertedTokens counts the tokens that this node's requests added to the cache.
	// It serves as the clock of the history's entries.
	insertedTokens uint32
	// epoch increases when the engine restarts with an empty cache.
	epoch uint32
	// retentionTokens is the number of tokens that can be added before a prefix is
	// probably evicted. Tokens of other nodes evict as well and are not counted here;
	// since it is learned in this node's own tokens, it shrinks by their share.
	retentionTokens float64
	// lastSequence is the sequence number of the last cache event.
	lastSequence uint64
}

const (
	initialRetentionTokens = 400_000
	minRetentionTokens     = 4_000
	maxRetentionTokens     = 50_000_000
	// retentionWeight is the weight of one hit or miss in retentionTokens.
	retentionWeight = 0.2
)

// match is the history's record of a prompt at one replica.
type match struct {
	// tokens is the length of the longest prefix that was sent there.
	tokens int
	// ageTokens is the number of tokens added to the cache since then.
	ageTokens uint32
}

// lookup caches the history's entries for the prompt of one decision; each entry
// is looked up at most once, regardless of the number of candidates.
type lookup struct {
	history    *history
	hashes     []uint64
	isResolved [maxHashes]bool
	entries    [maxHashes]*entry
}

// maxHashes bounds the prefixes of a prompt that are used; the rest are ignored.
const maxHashes = 64

func (l *lookup) reset(h *history, hashes []uint64) {
	l.history = h
	l.hashes = hashes[:min(len(hashes), maxHashes)]
	clear(l.isResolved[:len(l.hashes)])
}

func (l *lookup) entry(i int) *entry {
	if !l.isResolved[i] {
		l.isResolved[i] = true
		l.entries[i] = l.history.find(l.hashes[i])
	}
	return l.entries[i]
}

// longest returns the index of the longest prefix that was sent to any replica,
// or -1. All prefixes of a prompt are recorded together, so the recorded ones
// come first and a binary search finds the last of them.
func (l *lookup) longest() int {
	low, high := 0, len(l.hashes)
	for low < high {
		middle := (low + high) / 2
		if l.entry(middle) == nil {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low - 1
}

// match returns the index of the longest prefix that was sent to the replica, or
// -1, and the tokens added to the replica's cache since.
func (l *lookup) match(p *replica) (index int, age uint32) {
	low, high := 0, len(l.hashes)
	for low < high {
		middle := (low + high) / 2
		e := l.entry(middle)
		since, ok := uint32(0), false
		if e != nil {
			since, ok = e.ageTokens(p)
		}
		if !ok {
			high = middle
			continue
		}
		age = since
		low = middle + 1
	}
	return low - 1, age
}

// matchHistory returns the history's record of the prompt at a replica.
func (r *Router) matchHistory(p *replica) match {
	index, age := r.lookup.match(p)
	if index < 0 {
		return match{}
	}
	return match{
		tokens:    r.config.BlockTokens(index),
		ageTokens: age,
	}
}

// cachedTokens returns how many tokens of a match the replica probably still has cached.
func (c *cacheState) cachedTokens(known match, promptTokens int) int {
	if float64(known.ageTokens) > c.retentionTokens {
		return 0
	}
	return min(known.tokens, promptTokens)
}

// learn adjusts retentionTokens to the cached tokens that the engine reported.
func (c *cacheState) learn(known match, cached int) {
	if known.tokens == 0 {
		return
	}
	age := float64(known.ageTokens)
	hit := 2*cached >= known.tokens
	switch {
	case hit && age > c.retentionTokens:
		c.retentionTokens += retentionWeight * (age - c.retentionTokens)
	case !hit && age < c.retentionTokens:
		c.retentionTokens -= retentionWeight * (c.retentionTokens - age)
	}
	c.retentionTokens = clip(c.retentionTokens, minRetentionTokens, maxRetentionTokens)
}

// insert counts tokens that are added to the cache.
func (c *cacheState) insert(tokens int) { c.insertedTokens += uint32(max(0, tokens)) }
