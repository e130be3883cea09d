package membership

import (
	"time"

	"zinniamast/blackboard"
)

// contactResolution is the precision of the last-contact times in the shared table.
const contactResolution = 2 * time.Second

// member is another node of this failure domain.
type member struct {
	record Record
	// ringHash is the position on the hash ring.
	ringHash uint64
	outbox   outbox
	attempts
	// suspectedAt is when the unanswered exchange began; zero if not suspected.
	suspectedAt time.Time
	// probing means that an indirect probe is running; unreachable that the last one
	// failed as well.
	probing     bool
	probedAt    time.Time
	unreachable bool
	// refutations counts recent false deaths; each doubles the suspicion timeout.
	refutations      int
	refutedAt        time.Time
	diedAt           time.Time
	contactWrittenAt time.Time
}

func (p *member) alive() bool { return p.record.State != Dead }

// suspicionTimeout returns how long a suspected member may stay unreachable before it is
// declared dead. A member that was wrongly declared dead is on a slow link or pauses:
// each refutation doubles its timeout up to eightfold, or it would flap in the table.
func (p *member) suspicionTimeout(now time.Time) time.Duration {
	if now.Sub(p.refutedAt) > refutationMemory {
		p.refutations = 0
	}
	return baseSuspicionTimeout << min(p.refutations, 3)
}

func (p *member) clearSuspicion() {
	p.suspectedAt = time.Time{}
	p.unreachable = false
}

// mergeRecord applies a record and reports whether it changed the table; the caller
// holds the lock.
func (m *Membership) mergeRecord(record Record) bool {
	if !record.valid() {
		return false
	}
	if record.ID == m.own.ID {
		m.refute(record)
		return false
	}
	known, ok := m.members[record.ID]
	if !ok {
		// Ignore the death of an unknown member: forwarding such tombstones would keep
		// them circulating forever.
		if record.State == Dead {
			return false
		}
		m.addMember(record)
		return true
	}
	if !record.newer(known.record) {
		return false
	}
	now := time.Now()
	if known.record.State == Dead && record.State != Dead {
		known.refutations++
		known.refutedAt = now
		m.queueOwnGossip(known)
	}
	if record.State == Dead && known.alive() {
		known.diedAt = now
		known.outbox = newOutbox()
	}
	known.record = record
	known.clearSuspicion()
	m.writeMember(known)
	m.config.Logger.Info("member_changed", "member", record.ID, "state", record.State.String(), "incarnation", record.Incarnation)
	return true
}

// addMember adds a new member and queues all of this node's own gossip for it.
func (m *Membership) addMember(record Record) {
	p := &member{
		record:   record,
		ringHash: hash(record.ID),
		outbox:   newOutbox(),
	}
	m.members[record.ID] = p
	m.writeMember(p)
	m.queueOwnGossip(p)
	m.config.Logger.Info("member_joined", "member", record.ID, "incarnation", record.Incarnation)
}

// queueOwnGossip queues all of this node's own gossip for a member that has received
// none of it.
func (m *Membership) queueOwnGossip(p *member) {
	for key := range m.gossip.ownKeys {
		p.outbox.addGossip(key, false)
	}
}

// refute raises this node's incarnation to refute its own false death or to supersede
// the record of an earlier run under the same ID.
func (m *Membership) refute(record Record) {
	if m.departed || record.Incarnation < m.own.Incarnation {
		return
	}
	if record.Incarnation == m.own.Incarnation && record.State <= m.own.State {
		return
	}
	m.own.Incarnation = record.Incarnation + 1
	m.lacksGossip = true
	m.config.Logger.Warn("member_denies_death", "incarnation", m.own.Incarnation)
	m.writeSelf(m.config.ConfigVersion())
	m.broadcastRecord(m.own.ID)
}

// broadcastRecord queues a record for all broadcast targets; the caller holds the lock.
func (m *Membership) broadcastRecord(id string) {
	for _, p := range m.broadcastTargets() {
		if p.record.ID != id {
			p.outbox.addRecord(id)
		}
	}
	m.wakeLoop()
}

// recordOf returns the current record of a member or of this node.
func (m *Membership) recordOf(id string) (Record, bool) {
	if id == m.own.ID {
		return m.own, true
	}
	p, ok := m.members[id]
	if !ok {
		return Record{}, false
	}
	return p.record, true
}

// writeMember copies a member into the shared table; the caller holds the lock.
func (m *Membership) writeMember(p *member) {
	m.config.Members.Update(p.record.ID, func(entry *blackboard.Member) bool {
		fillMember(entry, p.record, m.config.FailureDomain)
		return true
	})
}

// recordContact writes the time of contact with a member and its configuration version
// to the shared table; the caller holds the lock.
func (m *Membership) recordContact(p *member, version uint64, now time.Time) {
	if now.Sub(p.contactWrittenAt) < contactResolution {
		return
	}
	p.contactWrittenAt = now
	m.config.Members.Update(p.record.ID, func(entry *blackboard.Member) bool {
		entry.Heard = now
		entry.ConfigVersion = version
		return true
	})
}

// removeExpired removes members that have been dead for longer than deadRetention, and
// failure domains out of contact; the caller holds the lock.
func (m *Membership) removeExpired(now time.Time) {
	m.removeExpiredDomains(now)
	for id, p := range m.members {
		if !p.alive() && now.Sub(p.diedAt) > deadRetention {
			delete(m.members, id)
			m.config.Members.Remove(id)
		}
	}
}

// String returns the name of the state as used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}
