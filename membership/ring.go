package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

func hash(text string) uint64 { return xxh3.HashString(text) }

// ring returns the living members in the order that starts after this node;
// the caller holds the lock. The order is by hash: neighbours by name often
// stand in one rack, and whoever dies together should not watch each other.
func (m *Membership) ring() []*member {
	living := make([]*member, 0, len(m.members))
	for _, p := range m.members {
		if p.alive() {
			living = append(living, p)
		}
	}
	slices.SortFunc(living, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), strings.Compare(a.record.ID, b.record.ID))
	})
	first, _ := slices.BinarySearchFunc(living, m.selfHash, func(p *member, self uint64) int {
		return cmp.Compare(p.ringHash, self)
	})
	return append(living[first:len(living):len(living)], living[:first]...)
}

// broadcastTargets returns the members this node tells news. In a failure domain of
// ordinary size that is everyone; above, the members at distances 1, 2, 4 and
// so on along the ring, who pass on what is new to them.
func (m *Membership) broadcastTargets() []*member {
	ring := m.ring()
	if len(ring) < maxMeshSize {
		return ring
	}
	var fingers []*member
	for distance := 1; distance <= len(ring); distance *= 2 {
		fingers = append(fingers, ring[distance-1])
	}
	return fingers
}

// needsRelay says whether the domain is so large that news passes from node to node.
func (m *Membership) needsRelay() bool { return len(m.members) >= maxMeshSize }

// isRepresentative says whether this node speaks for its domain: it is among the
// few living members whose IDs hash lowest. Nodes that disagree for a moment
// make a few messages more, so no agreement is needed.
func (m *Membership) isRepresentative() bool {
	lower := 0
	for id, p := range m.members {
		if p.record.State == Alive && hash(id) < m.selfHash {
			lower++
		}
	}
	return lower < representativeCount && m.own.State == Alive
}

// digest hashes the living members, whatever their order; the caller holds the lock.
func (m *Membership) digest() uint64 {
	sum := recordHash(m.own)
	for _, p := range m.members {
		if p.alive() {
			sum ^= recordHash(p.record)
		}
	}
	return sum
}

func recordHash(r Record) uint64 {
	if r.State == Dead {
		return 0
	}
	raw := make([]byte, 0, 64)
	raw = append(raw, r.ID...)
	raw = binary.BigEndian.AppendUint64(raw, r.Incarnation)
	raw = append(raw, byte(r.State))
	return xxh3.Hash(raw)
}

// contactRecords returns the members that other domains may turn to, the same
// at each node; the caller holds the lock.
func (m *Membership) contactRecords() []Record {
	var living []Record
	if m.own.State == Alive {
		living = append(living, m.own)
	}
	for _, p := range m.members {
		if p.record.State == Alive {
			living = append(living, p.record)
		}
	}
	slices.SortFunc(living, func(a, b Record) int { return cmp.Compare(hash(a.ID), hash(b.ID)) })
	return living[:min(len(living), maxContacts)]
}
