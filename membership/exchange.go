package membership

import (
	"context"
	"time"

	"zinniamast"
)

// newExchange returns a message with this node's heartbeat; the caller holds the lock.
func (m *Membership) newExchange() *Exchange {
	return &Exchange{
		From:        m.own.ID,
		Incarnation: m.own.Incarnation,
		Config:      m.config.ConfigVersion(),
	}
}

// fillMessage adds the records and gossip of a batch to a message; the caller holds the
// lock.
func (m *Membership) fillMessage(message *Exchange, taken batch) {
	now := time.Now()
	for _, id := range taken.records {
		if record, ok := m.recordOf(id); ok {
			message.Records = append(message.Records, record)
		}
	}
	for _, key := range taken.gossip {
		if item, ok := m.gossip.wireItem(key, now); ok {
			message.News = append(message.News, item)
		}
	}
}

// shouldAsk reports whether an exchange with a member asks for its full state; the caller holds
// the lock. Of the members that are not suspected, a few are asked in each heartbeatInterval:
// answers have up to maxGossipPerMessage items, and a node that was paused, as happens to all
// when all start on busy machines, exchanges messages with its whole failure domain at once.
func (m *Membership) shouldAsk(p *member) bool {
	if !m.lacksGossip || !p.suspectedAt.IsZero() || !p.alive() {
		return m.lacksGossip
	}
	if now := time.Now(); now.Sub(m.askedAt) >= heartbeatInterval {
		m.asks, m.askedAt = 0, now
	}
	m.asks++
	return m.asks <= monitoredSuccessors
}

// startExchange starts an exchange with a member unless the answer to an earlier one may
// still arrive soon; the caller holds the lock.
func (m *Membership) startExchange(ctx context.Context, p *member) {
	now := time.Now()
	if !m.mayStart(&p.attempts, now) {
		return
	}
	taken := p.outbox.takeBatch(&m.gossip, &m.bulkBudgetBytes)
	number := p.start(now, taken)
	message := m.newExchange()
	message.Digest = m.digest()
	message.Want = m.shouldAsk(p)
	m.fillMessage(message, taken)
	address := p.record.Address
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := m.config.Transport.Exchange(ctx, address, message)
		m.finishExchange(ctx, p, number, message.Want, taken, answer, err)
	}()
}

// finishExchange handles the result of an exchange with a member.
func (m *Membership) finishExchange(ctx context.Context, p *member, number int, wanted bool, taken batch, answer *Exchange, err error) {
	m.mu.Lock()
	// The address may have been reused by another process, whose answer does not come
	// from the member.
	if err != nil || answer.From != p.record.ID {
		lost, isLast := p.failed(number)
		if p.alive() {
			p.outbox.requeue(lost)
		}
		if isLast {
			m.suspect(ctx, p)
		}
		m.mu.Unlock()
		return
	}
	for _, lost := range p.answered(number) {
		p.outbox.restore(lost)
	}
	for i, key := range taken.gossip {
		if m.gossip.sequence(key) > taken.sequences[i] {
			p.outbox.addGossip(key, urgentTopics[key.topic])
		}
	}
	p.clearSuspicion()
	m.isolated = false
	if wanted {
		m.lacksGossip = false
	}
	m.recordContact(p, answer.Config, time.Now())
	callbacks := m.mergeMessage(answer, p)
	if answer.Want {
		p.outbox.addRecord(m.own.ID)
	}
	if answer.Table {
		m.queueMissing(p, answer.Records)
	}
	if p.outbox.urgent {
		m.wakeLoop()
	}
	m.mu.Unlock()
	runCallbacks(callbacks)
}

func runCallbacks(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}

// mergeMessage applies a message of this failure domain and returns the callbacks to run
// after the lock is released; the caller holds the lock.
func (m *Membership) mergeMessage(message *Exchange, from *member) []func() {
	m.joined = true
	for _, record := range message.Records {
		if m.mergeRecord(record) && m.needsRelay() {
			m.broadcastRecord(record.ID)
		}
		m.queueCorrection(record, from)
	}
	for _, summary := range message.Summaries {
		m.mergeSummary(summary, sourceMember)
	}
	callbacks := m.receiveGossip(message.News, message.From, false)
	if version := message.Config; from != nil && version > m.config.ConfigVersion() {
		address := from.record.Address
		callbacks = append(callbacks, func() { m.config.OnNewerConfig(address, version) })
	}
	return callbacks
}

// queueCorrection queues the newer record for a member that sent an outdated one; the
// caller holds the lock.
func (m *Membership) queueCorrection(record Record, from *member) {
	known, ok := m.recordOf(record.ID)
	if ok && from != nil && known.newer(record) {
		from.outbox.addRecord(record.ID)
		m.wakeLoop()
	}
}

// queueMissing queues the live records that are missing from the table a member sent.
func (m *Membership) queueMissing(p *member, table []Record) {
	present := map[string]bool{}
	for _, record := range table {
		present[record.ID] = true
	}
	for id, other := range m.members {
		if other.alive() && !present[id] {
			p.outbox.addRecord(id)
		}
	}
}

// Receive handles a message of another node and returns the answer.
func (m *Membership) Receive(message *Exchange) *Exchange {
	m.mu.Lock()
	if message.Domain != "" && message.Domain != m.config.FailureDomain {
		answer, callbacks := m.receiveRemoteMessage(message)
		m.mu.Unlock()
		runCallbacks(callbacks)
		return answer
	}
	from := m.members[message.From]
	incarnation := m.own.Incarnation
	callbacks := m.mergeMessage(message, from)
	if from == nil {
		from = m.members[message.From]
	}
	answer := m.newExchange()
	answer.Digest = m.digest()
	// A sender that this node has recorded as dead needs that record in order to refute
	// it, and a sender that is unknown in this incarnation must send its own record.
	if from == nil || message.Incarnation != from.record.Incarnation || !from.alive() {
		answer.Want = true
		if from != nil {
			answer.Records = append(answer.Records, from.record)
		}
	} else {
		m.recordContact(from, message.Config, time.Now())
	}
	if m.own.Incarnation != incarnation {
		answer.Records = append(answer.Records, m.own)
	}
	if message.Want {
		m.addFullState(answer)
	} else {
		m.syncTable(message, answer)
	}
	m.mu.Unlock()
	runCallbacks(callbacks)
	return answer
}

// syncTable adds the whole table to an answer if the digests of the two nodes differ,
// which repairs lost pushes. The rate is limited because while many members change the
// digests differ at every heartbeat.
func (m *Membership) syncTable(message, answer *Exchange) {
	now := time.Now()
	if message.Digest == 0 || message.Digest == answer.Digest || now.Sub(m.tableAt) < tableSyncInterval {
		return
	}
	m.tableAt = now
	answer.Table = true
	m.addLiveRecords(answer)
	// Dead members are included; otherwise a node that missed a death would never learn
	// of it.
	for _, p := range m.members {
		if !p.alive() {
			answer.Records = append(answer.Records, p.record)
		}
	}
}

func (m *Membership) addLiveRecords(answer *Exchange) {
	answer.Records = append(answer.Records, m.own)
	for _, p := range m.members {
		if p.alive() {
			answer.Records = append(answer.Records, p.record)
		}
	}
}

// addFullState adds the live records, the summaries and the gossip that this node knows
// to the answer to a joining node; the caller holds the lock.
func (m *Membership) addFullState(answer *Exchange) {
	m.addLiveRecords(answer)
	for _, d := range m.domains {
		answer.Summaries = append(answer.Summaries, d.summary)
	}
	// The joining node hears most of what does not fit soon from its origin, but not what
	// was published once for a long time.
	isLasting := func(topic zinniamast.Topic) bool {
		switch topic {
		case zinniamast.TopicQuarantine, zinniamast.TopicRateLimit, zinniamast.TopicRollout, zinniamast.TopicVersionVerdict:
			return true
		}
		return false
	}
	m.addGossip(answer, isLasting)
	m.addGossip(answer, func(topic zinniamast.Topic) bool { return !isLasting(topic) })
}

// addGossip adds the items of the topics that match as far as they fit into an answer; the
// caller holds the lock.
func (m *Membership) addGossip(answer *Exchange, matches func(zinniamast.Topic) bool) {
	now := time.Now()
	for key := range m.gossip.items {
		if len(answer.News) >= maxGossipPerMessage {
			return
		}
		if item, ok := m.gossip.wireItem(key, now); ok && matches(key.topic) {
			answer.News = append(answer.News, item)
		}
	}
}
