package routing

// cacheState is what is believed of a replica's limited prefix cache.
type cacheState struct {
	// insertedTokens counts the tokens this node made the cache take in.
	insertedTokens uint32
	// epoch rises when the engine starts again with an empty cache.
	epoch uint32
	// retentionTokens is how many tokens may be taken in before a prefix is probably
	// evicted. Other nodes' tokens evict too, unseen; reach is learned in this
	// node's own tokens, so it shrinks by their part.
	retentionTokens float64
	// sequence is the last cache event's.
	sequence uint64
}

const (
	initialRetentionTokens = 400_000
	minRetentionTokens     = 4_000
	maxRetentionTokens     = 50_000_000
	// retentionWeight is how fast the reach follows a hit or miss.
	retentionWeight = 0.2
)

// match is what the history says of a need at one replica.
type match struct {
	// tokens is the length of the longest prefix ever used there.
	tokens int
	// ageTokens is how many tokens came since.
	ageTokens uint32
}

// lookup holds the history's entries for the prompt of one decision; each is
// looked up at most once, whatever the number of candidates.
type lookup struct {
	history *history
	hashes  []uint64
	done    [maxHashes]bool
	entries [maxHashes]*entry
}

// maxHashes bounds how many prefixes of a prompt are used; the rest are ignored.
const maxHashes = 64

func (l *lookup) reset(h *history, hashes []uint64) {
	l.history = h
	l.hashes = hashes[:min(len(hashes), maxHashes)]
	clear(l.done[:len(l.hashes)])
}

func (l *lookup) entry(i int) *entry {
	if !l.done[i] {
		l.done[i] = true
		l.entries[i] = l.history.find(l.hashes[i])
	}
	return l.entries[i]
}

// longest returns the index of the longest prefix that any replica was sent,
// or -1. All prefixes of a prompt are recorded together, so the known ones
// come first and a binary search finds the last.
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

// match returns the index of the longest prefix that the replica was sent, or
// -1, and the tokens its cache has taken in since.
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

// matchHistory says what the history knows of the prompt at a replica.
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

// cachedTokens returns how many of a match's tokens the replica probably still holds.
func (c *cacheState) cachedTokens(known match, prompt int) int {
	if float64(known.ageTokens) > c.retentionTokens {
		return 0
	}
	return min(known.tokens, prompt)
}

// learn corrects the reach by what the engine said it had cached.
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

// insert counts tokens that enter the cache.
func (c *cacheState) insert(tokens int) { c.insertedTokens += uint32(max(0, tokens)) }
