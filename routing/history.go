package routing

// history records which prefixes were sent to which replicas. It is a set-associative
// table of fixed size; a new entry replaces the least recently used one of its set.
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

// holder is a replica that probably has a prefix cached.
type holder struct {
	serial uint32
	// usedAt is the replica's insertedTokens when the prefix was last used there.
	usedAt uint32
	// epoch is the cache's epoch at that time; entries of earlier epochs are invalid.
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

// touch records that a replica uses the prefix now.
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

// addHolder puts the replica first and removes the least recently used one if there
// are too many.
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

// removeHolder removes the replica from the prefix's holders.
func (e *entry) removeHolder(p *replica) {
	remaining := 0
	for _, h := range e.holders {
		if h.serial != p.serial && h.serial != 0 {
			e.holders[remaining] = h
			remaining++
		}
	}
	for ; remaining < maxHolders; remaining++ {
		e.holders[remaining] = holder{}
	}
}

// ageTokens returns the tokens added to the replica's cache since it last used the
// prefix; ok is false if it has not used it in this epoch.
func (e *entry) ageTokens(p *replica) (age uint32, ok bool) {
	for _, h := range e.holders {
		if h.serial == p.serial && h.epoch == p.cache.epoch {
			return p.cache.insertedTokens - h.usedAt, true
		}
	}
	return 0, false
}
