package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

func hash(text string) uint64 { return xxh3.HashString(text) }

// ring returns the live members in ring order, starting after this node; the caller
// holds the lock. The order is by hash because nodes with adjacent names often share a
// rack, and nodes that fail together should not monitor each other.
func (m *Membership) ring() []*member {
	live := make([]*member, 0, len(m.members))
	for _, p := range m.members {
		if p.alive() {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), strings.Compare(a.record.ID, b.record.ID))
	})
	first, _ := slices.BinarySearchFunc(live, m.selfHash, func(p *member, self uint64) int {
		return cmp.Compare(p.ringHash, self)
	})
	return append(live[first:len(live):len(live)], live[:first]...)
}

// broadcastTargets returns the members to which this node sends changes. In a small
// failure domain these are all members. From maxMeshSize members on they are those at
// distances 1, 2, 4 and so on along the ring, which relay what is new to them.
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

// needsRelay reports whether the failure domain is so large that changes are relayed
// from node to node.
func (m *Membership) needsRelay() bool { return len(m.members) >= maxMeshSize }

// isRepresentative reports whether this node represents its failure domain: it is among
// the few live members whose IDs have the lowest hashes. It needs no agreement, because
// nodes that disagree for a moment only cause a few additional messages.
func (m *Membership) isRepresentative() bool {
	lower := 0
	for id, p := range m.members {
		if p.record.State == Alive && hash(id) < m.selfHash {
			lower++
		}
	}
	return lower < representativeCount && m.own.State == Alive
}

// digest hashes the live members independently of their order; the caller holds the
// lock.
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

// contactRecords returns the members that other failure domains contact, the same on
// each node; the caller holds the lock.
func (m *Membership) contactRecords() []Record {
	var live []Record
	if m.own.State == Alive {
		live = append(live, m.own)
	}
	for _, p := range m.members {
		if p.record.State == Alive {
			live = append(live, p.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return cmp.Compare(hash(a.ID), hash(b.ID)) })
	return live[:min(len(live), maxContacts)]
}
