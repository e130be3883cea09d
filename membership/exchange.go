package membership

import (
	"context"
	"time"
)

// newExchange returns an exchange with this node's heartbeat; the caller holds the lock.
func (m *Membership) newExchange() *Exchange {
	return &Exchange{
		From:        m.own.ID,
		Incarnation: m.own.Incarnation,
		Config:      m.config.ConfigVersion(),
	}
}

// fillMessage fills a message with what an outbox owes; the caller holds the lock.
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

// startExchange starts an exchange with a member unless one is in flight; the caller holds the lock.
func (m *Membership) startExchange(ctx context.Context, p *member) {
	if p.inFlight {
		return
	}
	p.inFlight = true
	p.sentAt = time.Now()
	taken := p.outbox.takeBatch(&m.gossip, &m.bulkBudgetBytes)
	message := m.newExchange()
	message.Digest = m.digest()
	m.fillMessage(message, taken)
	address := p.record.Address
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := m.config.Transport.Exchange(ctx, address, message)
		m.finishExchange(ctx, p, taken, answer, err)
	}()
}

// finishExchange takes the end of an exchange in.
func (m *Membership) finishExchange(ctx context.Context, p *member, taken batch, answer *Exchange, err error) {
	m.mu.Lock()
	p.inFlight = false
	// An address may have passed to another process since; that one is not the member.
	if err != nil || answer.From != p.record.ID {
		if p.alive() {
			p.outbox.requeue(taken)
		}
		m.suspect(ctx, p)
		m.mu.Unlock()
		return
	}
	for i, key := range taken.gossip {
		if m.gossip.sequence(key) > taken.sequences[i] {
			p.outbox.addGossip(key, urgentTopics[key.topic])
		}
	}
	p.clearSuspicion()
	m.isolated = false
	m.recordContact(p, answer.Config, time.Now())
	calls := m.mergeMessage(answer, p)
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
	runCallbacks(calls)
}

func runCallbacks(calls []func()) {
	for _, call := range calls {
		call()
	}
}

// mergeMessage takes a message of this domain in and returns the calls to make once
// the lock is free; the caller holds the lock.
func (m *Membership) mergeMessage(message *Exchange, from *member) []func() {
	m.joined = true
	for _, record := range message.Records {
		if m.mergeRecord(record) && m.needsRelay() {
			m.broadcastRecord(record.ID)
		}
		m.queueCorrection(record, from)
	}
	for _, summary := range message.Summaries {
		m.mergeSummary(summary)
	}
	calls := m.receiveGossip(message.News, message.From, false)
	if version := message.Config; from != nil && version > m.config.ConfigVersion() {
		address := from.record.Address
		calls = append(calls, func() { m.config.OnNewerConfig(address, version) })
	}
	return calls
}

// queueCorrection tells the sender of an old record what is newer; the caller holds the lock.
func (m *Membership) queueCorrection(record Record, from *member) {
	known, ok := m.recordOf(record.ID)
	if ok && from != nil && known.newer(record) {
		from.outbox.addRecord(record.ID)
		m.wakeLoop()
	}
}

// queueMissing owes a member the records that its table lacks; the caller holds the lock.
func (m *Membership) queueMissing(p *member, table []Record) {
	has := map[string]bool{}
	for _, record := range table {
		has[record.ID] = true
	}
	for id, other := range m.members {
		if other.alive() && !has[id] {
			p.outbox.addRecord(id)
		}
	}
}

// Receive answers another node's message.
func (m *Membership) Receive(message *Exchange) *Exchange {
	m.mu.Lock()
	if message.Domain != "" && message.Domain != m.config.FailureDomain {
		answer, calls := m.receiveRemoteMessage(message)
		m.mu.Unlock()
		runCallbacks(calls)
		return answer
	}
	from := m.members[message.From]
	incarnation := m.own.Incarnation
	calls := m.mergeMessage(message, from)
	if from == nil {
		from = m.members[message.From]
	}
	answer := m.newExchange()
	answer.Digest = m.digest()
	// A sender that the table calls dead must hear so in order to deny it, and
	// one that is unknown in this incarnation must send its record.
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
	runCallbacks(calls)
	return answer
}

// syncTable adds the whole table to an answer where the two ends differ. Lost
// pushes are repaired so; the rate is bounded, as during a change of many
// members the ends differ at every heartbeat.
func (m *Membership) syncTable(message, answer *Exchange) {
	now := time.Now()
	if message.Digest == 0 || message.Digest == answer.Digest || now.Sub(m.tableAt) < tableSyncInterval {
		return
	}
	m.tableAt = now
	answer.Table = true
	m.addLiveRecords(answer)
	// The dead are told too, or the end that missed a death would never hear.
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

// addFullState tells a node that joins all this one knows; the caller holds the lock.
func (m *Membership) addFullState(answer *Exchange) {
	m.addLiveRecords(answer)
	for _, d := range m.domains {
		answer.Summaries = append(answer.Summaries, d.summary)
	}
	now := time.Now()
	for key := range m.gossip.items {
		if item, ok := m.gossip.wireItem(key, now); ok && len(answer.News) < maxGossipPerMessage {
			answer.News = append(answer.News, item)
		}
	}
}
