package quarantine

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// HeldParts is a set of parts of a prompt that are held back: a request is, if its prompt has
// all of them. Most sets have one part; those with more have always been seen together.
type HeldParts struct {
	// Parts are in ascending order.
	Parts []Part
	// Since is the earliest time at which a node held the parts back, of those that reported
	// it.
	Since time.Time
	// Crashes is the number of crashes counted against the parts at that time.
	Crashes int
	// lastReport is the time at which the last of these crashes was reported.
	lastReport time.Time
	// expires is the time at which this node forgets the entry.
	expires time.Time
	// isOwn reports whether this node told the others.
	isOwn bool
}

// FreePart is an operator's command that lets requests with a part run again.
type FreePart struct {
	Part Part
	// By is the operator and Why the reason. Every node logs both.
	By  string
	Why string
}

// ErrPartNotHeld means that this node has no evidence against the part.
var ErrPartNotHeld = errors.New("no node that is heard here holds this prompt part back")

const (
	// maxHeldSet bounds the parts of a set.
	maxHeldSet = 8
	// heldSetSeparator separates the parts in the key of a set.
	heldSetSeparator = "+"
)

// ParsePart parses the format of Part.String.
func ParsePart(text string) (Part, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("quarantine: %q is not a prompt part of up to 16 hexadecimal digits", text)
	}
	return Part(value), nil
}

// Key returns the parts in hexadecimal, separated by plus signs.
func (h HeldParts) Key() string {
	names := make([]string, 0, len(h.Parts))
	for _, part := range h.Parts {
		names = append(names, part.String())
	}
	return strings.Join(names, heldSetSeparator)
}

// parseHeldKey parses the format of HeldParts.Key.
func parseHeldKey(key string) ([]Part, error) {
	var parts []Part
	for name := range strings.SplitSeq(key, heldSetSeparator) {
		part, err := ParsePart(name)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// isIn reports whether a prompt has all of the parts.
func (h HeldParts) isIn(parts []uint64) bool {
	return !slices.ContainsFunc(h.Parts, func(part Part) bool { return !slices.Contains(parts, uint64(part)) })
}

func (h HeldParts) contains(part uint64) bool { return slices.Contains(h.Parts, Part(part)) }

// Held returns the parts that are held back, oldest first.
func (p *Parts) Held() []HeldParts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(time.Now())
	all := slices.Collect(maps.Values(p.held))
	slices.SortFunc(all, func(a, b HeldParts) int {
		return cmp.Or(a.Since.Compare(b.Since), strings.Compare(a.Key(), b.Key()))
	})
	return all
}

// heldIn returns the held parts that a prompt has. The caller holds the lock.
func (p *Parts) heldIn(parts []uint64) (HeldParts, bool) {
	for _, held := range p.held {
		if held.isIn(parts) {
			return held, true
		}
	}
	return HeldParts{}, false
}

// holdCulprit holds the parts of a prompt back that are the cause of crashes, and reports
// whether there are any that were not held back. The caller holds the lock.
func (p *Parts) holdCulprit(parts []uint64, now time.Time) (HeldParts, bool) {
	if !slices.ContainsFunc(parts, func(part uint64) bool { return len(p.suspected[part]) > 0 }) {
		return HeldParts{}, false
	}
	set, e := p.culprits(parts)
	if set == nil {
		return HeldParts{}, false
	}
	slices.Sort(set)
	held := HeldParts{
		Since:      now,
		Crashes:    e.crashes,
		lastReport: e.lastReport,
		expires:    now.Add(crashRetention),
		isOwn:      true,
	}
	for _, part := range set[:min(len(set), maxHeldSet)] {
		held.Parts = append(held.Parts, Part(part))
	}
	if _, ok := p.held[held.Key()]; ok {
		return HeldParts{}, false
	}
	p.hold(held)
	p.config.Logger.Warn("prompt part held back", "parts", held.Key(), "crashes", e.crashes, "depth", e.depth, "failure_domains", e.domains)
	return held, true
}

// hold records parts that are held back. The caller holds the lock.
func (p *Parts) hold(held HeldParts) {
	p.held[held.Key()] = held
	p.metrics.held.Set(float64(len(p.held)))
}

// drop forgets parts that were held back. The caller holds the lock.
func (p *Parts) drop(key string) {
	delete(p.held, key)
	p.metrics.held.Set(float64(len(p.held)))
}

// release stops holding back because of a part, and reports whether it was held back. The
// rest of its set stays held back. The caller holds the lock.
func (p *Parts) release(part uint64) bool {
	wasHeld := false
	for key, held := range p.held {
		if !held.contains(part) {
			continue
		}
		wasHeld = true
		p.withdraw(key, held)
		held.Parts = slices.DeleteFunc(slices.Clone(held.Parts), func(other Part) bool { return uint64(other) == part })
		if len(held.Parts) > 0 {
			held.isOwn = false
			p.hold(held)
		}
	}
	return wasHeld
}

// withdraw forgets parts that were held back, here, in the table and, once the lock is
// released, at the nodes that start later. The caller holds the lock.
func (p *Parts) withdraw(key string, held HeldParts) {
	p.drop(key)
	p.archive.save(change{
		key: key,
	})
	if held.isOwn {
		p.withdrawn = append(p.withdrawn, key)
	}
}

// onProbation reports whether one crash is enough to hold a part back: it was held back
// before, and no replica has answered a prompt with it since. The caller holds the lock.
func (p *Parts) onProbation(part uint64) bool {
	if _, ok := p.lapsed[part]; ok {
		return true
	}
	freed, wasFreed := p.freed[part]
	if !wasFreed {
		return false
	}
	soundAt, wasSound := p.sound.at(part)
	return !wasSound || soundAt.Before(freed)
}

// Free lets requests with a part run again at every node. Until a replica has answered one of
// them, they run alone, and a single crash holds the part back again.
func (p *Parts) Free(free FreePart) error {
	now := time.Now()
	part := uint64(free.Part)
	p.mu.Lock()
	isHeld := false
	for _, held := range p.held {
		isHeld = isHeld || held.contains(part)
	}
	if !isHeld && p.evidenceAgainst(part).depth == 0 {
		p.mu.Unlock()
		return ErrPartNotHeld
	}
	p.markFreed(free, now)
	p.mu.Unlock()
	p.publishFreed(free, now)
	p.publishWithdrawn()
	return nil
}

// markFreed records that a part was freed. The caller holds the lock.
func (p *Parts) markFreed(free FreePart, at time.Time) {
	part := uint64(free.Part)
	if !at.After(p.freed[part]) {
		return
	}
	p.freed[part] = at
	delete(p.lapsed, part)
	for key, held := range p.held {
		// Parts that are held back because of a later crash stay so.
		if held.contains(part) && !held.lastReport.After(at) {
			p.withdraw(key, held)
		}
	}
	p.config.Logger.Warn("prompt part freed", "part", free.Part, "by", free.By, "why", free.Why, "at", at)
}

// recordRemoteHeld records that another node holds parts back. The caller holds the lock.
func (p *Parts) recordRemoteHeld(held HeldParts) {
	for _, part := range held.Parts {
		if !held.lastReport.After(p.freed[uint64(part)]) {
			return
		}
	}
	known, ok := p.held[held.Key()]
	if ok && !held.Since.Before(known.Since) {
		return
	}
	held.isOwn = ok && known.isOwn
	p.hold(held)
	if !ok {
		p.config.Logger.Info("prompt part held back by another node", "parts", held.Key(), "crashes", held.Crashes)
	}
}

// fields encodes an entry without its parts.
func (h HeldParts) fields() []string {
	return []string{
		strconv.FormatInt(h.Since.UnixNano(), 10),
		strconv.Itoa(h.Crashes),
		strconv.FormatInt(h.lastReport.UnixNano(), 10),
	}
}

// parseHeldParts decodes an entry.
func parseHeldParts(key string, value []byte) (HeldParts, error) {
	parts, err := parseHeldKey(key)
	if err != nil {
		return HeldParts{}, err
	}
	fields := strings.Split(string(value), "\n")
	if len(fields) != heldFields {
		return HeldParts{}, fmt.Errorf("quarantine: held parts have %d fields", len(fields))
	}
	since, errSince := parseUnixNano(fields[0])
	crashes, errCrashes := strconv.Atoi(fields[1])
	lastReport, errReport := parseUnixNano(fields[2])
	return HeldParts{
		Parts:      parts,
		Since:      since,
		Crashes:    crashes,
		lastReport: lastReport,
	}, errors.Join(errSince, errCrashes, errReport)
}

// partTablePartition is the table partition that holds the parts that are held back.
const partTablePartition = "quarantined_parts"

// readHeld records held parts from the table.
func (p *Parts) readHeld(key string, value []byte) {
	held, err := parseHeldParts(key, value)
	if err != nil {
		p.config.Logger.Warn("held prompt part in the table is unreadable", "item", key, "cause", err)
		return
	}
	if time.Since(held.Since) > staleItemAge {
		p.archive.save(change{
			key: key,
		})
		return
	}
	held.expires = time.Now().Add(crashRetention)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRemoteHeld(held)
}
