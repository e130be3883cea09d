package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniamast"
)

const (
	// suspectBytes is the size of an encoded suspect: the part and the depth.
	suspectBytes = 8 + 1
	// soundKeyPrefix starts the keys of items about parts that a replica has answered. No
	// replica ID starts with it.
	soundKeyPrefix = "sound part: "
	// Prefixes of the keys of items about parts that are held back and that were freed.
	heldPartKeyPrefix  = "held_part "
	freedPartKeyPrefix = "freed_part "
)

// publishCrash publishes the suspects of a crash. Those with the least evidence against them
// are omitted if they do not fit into one item.
func (p *Parts) publishCrash(upstream string, suspects map[uint64]int) {
	if p.config.Gossip == nil || len(suspects) == 0 {
		return
	}
	parts := make([]uint64, 0, len(suspects))
	for part := range suspects {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b uint64) int { return suspects[b] - suspects[a] })
	var value []byte
	for _, part := range parts[:min(len(parts), zinniamast.MaxGossipValueBytes/suspectBytes)] {
		value = binary.BigEndian.AppendUint64(value, part)
		value = append(value, byte(min(suspects[part], math.MaxUint8)))
	}
	p.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicPromptPart,
		Key:        upstream,
		Value:      value,
		Expires:    time.Now().Add(crashMergeWindow),
		AllDomains: true,
	})
}

// publishSound publishes that replicas have answered prompts with parts that were suspects,
// and withdraws what no longer holds. The other nodes would otherwise keep counting earlier
// crashes against these parts.
func (p *Parts) publishSound(parts []uint64) {
	if p.config.Gossip != nil {
		for _, part := range parts {
			p.config.Gossip.Publish(zinniamast.GossipItem{
				Topic:      zinniamast.TopicPromptPart,
				Key:        soundKeyPrefix + Part(part).String(),
				Expires:    time.Now().Add(crashMergeWindow),
				AllDomains: true,
			})
		}
	}
	if len(parts) > 0 {
		p.publishWithdrawn()
	}
}

// receiveEvidence records what another node reports of suspects.
func (p *Parts) receiveEvidence(item zinniamast.GossipItem) {
	now := time.Now()
	if name, ok := strings.CutPrefix(item.Key, soundKeyPrefix); ok {
		part, err := ParsePart(name)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.clear(uint64(part), now, item.Origin)
		p.mu.Unlock()
		p.publishWithdrawn()
		return
	}
	suspects := map[uint64]int{}
	for value := item.Value; len(value) >= suspectBytes; value = value[suspectBytes:] {
		suspects[binary.BigEndian.Uint64(value)] = int(value[suspectBytes-1])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, isNew := p.recordCrash(item.Key, suspects, now, item.Expires.Add(-crashMergeWindow)); isNew {
		p.logCrash(c, suspects, item.Origin)
	}
}

// publishHeld tells the other nodes, and those that start later, that parts are held back.
func (p *Parts) publishHeld(held HeldParts) {
	p.publishVerdict(heldPartKeyPrefix+held.Key(), quarantineItemLifetime, held.fields()...)
	p.archive.save(change{
		key:   held.Key(),
		value: []byte(strings.Join(held.fields(), "\n")),
	})
}

// publishWithdrawn replaces the items of this node's verdicts that no longer hold, so that
// nodes that start later do not receive them.
func (p *Parts) publishWithdrawn() {
	p.mu.Lock()
	withdrawn := p.withdrawn
	p.withdrawn = nil
	p.mu.Unlock()
	for _, key := range withdrawn {
		p.publishVerdict(heldPartKeyPrefix+key, crashMergeWindow)
	}
}

func (p *Parts) publishFreed(free FreePart, at time.Time) {
	p.publishVerdict(freedPartKeyPrefix+free.Part.String(), quarantineItemLifetime,
		strconv.FormatInt(at.UnixNano(), 10), singleLine(free.By), singleLine(free.Why))
}

func (p *Parts) publishVerdict(key string, lifetime time.Duration, fields ...string) {
	if p.config.Gossip == nil {
		return
	}
	p.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicQuarantine,
		Key:        key,
		Value:      []byte(strings.Join(fields, "\n")),
		Expires:    time.Now().Add(lifetime),
		AllDomains: true,
	})
}

// receiveVerdict records that another node holds parts back or that a part was freed there.
func (p *Parts) receiveVerdict(item zinniamast.GossipItem) {
	if name, ok := strings.CutPrefix(item.Key, freedPartKeyPrefix); ok {
		part, err := ParsePart(name)
		fields := strings.Split(string(item.Value), "\n")
		at, timeErr := parseUnixNano(fields[0])
		if err != nil || timeErr != nil || len(fields) != heldFields {
			return
		}
		p.mu.Lock()
		p.markFreed(FreePart{
			Part: part,
			By:   fields[1],
			Why:  fields[2],
		}, at)
		p.mu.Unlock()
		p.publishWithdrawn()
		return
	}
	key, ok := strings.CutPrefix(item.Key, heldPartKeyPrefix)
	if !ok {
		return
	}
	held, err := parseHeldParts(key, item.Value)
	if err != nil {
		return // The other node has withdrawn its verdict.
	}
	held.expires = item.Expires
	var cancels []func()
	p.mu.Lock()
	p.recordRemoteHeld(held)
	if _, isHeld := p.held[key]; isHeld {
		cancels = p.takeCancels(held)
	}
	p.mu.Unlock()
	runAll(cancels)
}

// logCrash logs the suspects that a node reports of a crash. The caller holds the lock.
func (p *Parts) logCrash(c *partCrash, suspects map[uint64]int, reporter string) {
	logged := make([]Part, 0, maxLoggedFingerprints)
	for part := range suspects {
		if len(logged) < maxLoggedFingerprints {
			logged = append(logged, Part(part))
		}
	}
	p.config.Logger.Info("prompt parts suspected of a crash", "replica", c.upstream, "failure_domain", c.domain, "reporter", reporter,
		"parts", logged, "count", len(suspects), "depth", c.maxDepth())
}
