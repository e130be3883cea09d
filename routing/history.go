package routing

// history remembers which replicas were sent which prefixes: a set-associative
// table of fixed size, the least recently used entry of a set making room.
type history struct {
	sets  [][waysPerSet]entry
	mask  uint64
	clock uint32
}

const (
	waysPerSet = 4
	maxHolders = 3
)

type entry struct {
	prefix   uint64
	lastUsed uint32
	holders  [maxHolders]holder
}

// holder is a replica that probably holds a prefix.
type holder struct {
	serial uint32
	// usedAt is the replica's cache clock when the prefix was last used there.
	usedAt uint32
	// epoch is the cache's, to tell a restarted engine's prefixes from older ones.
	epoch uint32
}

func newHistory(blocks int) *history {
	sets := 1
	for sets*waysPerSet < blocks {
		sets *= 2
	}
	return &history{
		sets: make([][waysPerSet]entry, sets),
		mask: uint64(sets - 1),
	}
}

// find returns the entry of a prefix, or nil.
func (h *history) find(prefix uint64) *entry {
	set := &h.sets[prefix&h.mask]
	for i := range set {
		if set[i].prefix == prefix && set[i].lastUsed != 0 {
			return &set[i]
		}
	}
	return nil
}

// touch records that a replica holds the prefix as of its cache clock.
func (h *history) touch(prefix uint64, p *replica) {
	h.clock++
	e := h.find(prefix)
	if e == nil {
		e = h.leastRecentlyUsed(prefix)
		*e = entry{
			prefix: prefix,
		}
	}
	e.lastUsed = h.clock
	e.addHolder(p)
}

// leastRecentlyUsed returns the least recently used entry of the prefix's set.
func (h *history) leastRecentlyUsed(prefix uint64) *entry {
	set := &h.sets[prefix&h.mask]
	oldest := 0
	for i := range set {
		if set[i].lastUsed < set[oldest].lastUsed {
			oldest = i
		}
	}
	return &set[oldest]
}

// addHolder puts the replica first; the one used longest ago falls out.
func (e *entry) addHolder(p *replica) {
	now := holder{
		serial: p.serial,
		usedAt: p.cache.insertedTokens,
		epoch:  p.cache.epoch,
	}
	at := maxHolders - 1
	for i := range e.holders {
		if e.holders[i].serial == p.serial {
			at = i
			break
		}
	}
	copy(e.holders[1:at+1], e.holders[:at])
	e.holders[0] = now
}

// removeHolder forgets that the replica holds the prefix.
func (e *entry) removeHolder(p *replica) {
	kept := 0
	for _, h := range e.holders {
		if h.serial != p.serial && h.serial != 0 {
			e.holders[kept] = h
			kept++
		}
	}
	for ; kept < maxHolders; kept++ {
		e.holders[kept] = holder{}
	}
}

// ageTokens returns how many tokens the replica's cache has taken in since it last
// used the prefix; ok is false if it never did.
func (e *entry) ageTokens(p *replica) (age uint32, ok bool) {
	for _, h := range e.holders {
		if h.serial == p.serial && h.epoch == p.cache.epoch {
			return p.cache.insertedTokens - h.usedAt, true
		}
	}
	return 0, false
}
