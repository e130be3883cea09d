package membership

import (
	"time"

	"zinniamast/blackboard"
)

// contactResolution is how exactly the shared table tells when a member was heard.
const contactResolution = 2 * time.Second

// member is another node of this failure domain.
type member struct {
	record Record
	// ringHash is where it stands on the ring.
	ringHash uint64
	outbox   outbox
	// inFlight means that an exchange is in flight since sentAt.
	inFlight bool
	sentAt   time.Time
	// suspectedAt is when the unanswered exchange began; zero without doubt.
	suspectedAt time.Time
	// probing means that others are being asked; unreachable that they failed too.
	probing     bool
	probedAt    time.Time
	unreachable bool
	// refutations counts false deaths of late; each doubles the window.
	refutations      int
	refutedAt        time.Time
	diedAt           time.Time
	contactWrittenAt time.Time
}

func (p *member) alive() bool { return p.record.State != Dead }

// suspicionTimeout is how long a member may be silent. One that was wrongly declared
// dead before is on a slow link or pauses: it is given more time each time,
// or the table would flap at every such member.
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

// mergeRecord takes a record in and reports whether it was news; the caller holds the lock.
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
		// A death of somebody unknown stays unknown: passing tombstones on would
		// keep them going round for ever.
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

// addMember adds a new member and owes it all that this node has to tell.
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

// queueOwnGossip enters all of this node's own news for a member that has heard none of it.
func (m *Membership) queueOwnGossip(p *member) {
	for key := range m.gossip.ownKeys {
		p.outbox.addGossip(key, false)
	}
}

// refute denies a false death, or outbids an earlier life of the same name.
func (m *Membership) refute(record Record) {
	if m.departed || record.Incarnation < m.own.Incarnation {
		return
	}
	if record.Incarnation == m.own.Incarnation && record.State <= m.own.State {
		return
	}
	m.own.Incarnation = record.Incarnation + 1
	m.config.Logger.Warn("member_denies_death", "incarnation", m.own.Incarnation)
	m.writeSelf(m.config.ConfigVersion())
	m.broadcastRecord(m.own.ID)
}

// broadcastRecord owes a record to all this node tells things; the caller holds the lock.
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
	m.config.Members.Update(p.record.ID, func(shown *blackboard.Member) bool {
		fillMember(shown, p.record, m.config.FailureDomain)
		return true
	})
}

// recordContact notes contact with a member; the caller holds the lock.
func (m *Membership) recordContact(p *member, version uint64, now time.Time) {
	if now.Sub(p.contactWrittenAt) < contactResolution {
		return
	}
	p.contactWrittenAt = now
	m.config.Members.Update(p.record.ID, func(shown *blackboard.Member) bool {
		shown.Heard = now
		shown.ConfigVersion = version
		return true
	})
}

// removeExpired drops members long dead; the caller holds the lock.
func (m *Membership) removeExpired(now time.Time) {
	m.removeExpiredDomains(now)
	for id, p := range m.members {
		if !p.alive() && now.Sub(p.diedAt) > deadRetention {
			delete(m.members, id)
			m.config.Members.Remove(id)
		}
	}
}

// String returns the state's name in logs.
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
