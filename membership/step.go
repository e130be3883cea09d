package membership

import (
	"context"
	"slices"
	"time"
)

// bulkMessagesPerSecond is the rate of bulk messages that a node sends. With more
// members each receives them less often, so that the traffic of the node stays bounded.
const bulkMessagesPerSecond = 4

// Token bucket for bulk gossip, in bytes. Items above the budget wait and are replaced
// by newer ones: under load gossip arrives later but traffic does not grow.
const (
	bulkBytesPerSecond = 850
	bulkBurstBytes     = 1500
	itemOverheadBytes  = 60
)

// step runs the tasks that are due.
func (m *Membership) step(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.bulkBudgetBytes = min(m.bulkBudgetBytes+int(now.Sub(m.stepAt).Milliseconds())*bulkBytesPerSecond/1000, bulkBurstBytes)
	m.resetAfterPause(now)
	m.checkSuspicions(ctx, now)
	if due(&m.heartbeatAt, now, heartbeatInterval) {
		m.sendHeartbeats(ctx, now)
	}
	if due(&m.deadProbeAt, now, deadProbeInterval) {
		m.probeDead(ctx)
	}
	isRepresentative := m.isRepresentative()
	if !isRepresentative {
		m.withdrawSummaries()
	}
	isSummaryDue := due(&m.summaryAt, now, summaryInterval) && isRepresentative
	m.mu.Unlock()
	m.flush(ctx)
	if isSummaryDue {
		m.sendSummaries(ctx)
	}
	m.mu.Lock()
	isSeeding := m.isSeedingDue(now)
	m.mu.Unlock()
	if isSeeding {
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			m.join(ctx)
		}()
	}
}

// isSeedingDue reports whether to contact nodes that are not known yet. Once joined only
// the representatives do so, or the few seeds would receive requests from the whole
// fleet.
func (m *Membership) isSeedingDue(now time.Time) bool {
	switch {
	case m.isAlone():
		return due(&m.seedAt, now, time.Second)
	case len(m.members) == 0:
		return due(&m.seedAt, now, emptyDomainSeedInterval)
	default:
		return m.isRepresentative() && due(&m.seedAt, now, m.config.SeedInterval)
	}
}

// isAlone reports whether no other node is known; the caller holds the lock.
func (m *Membership) isAlone() bool { return len(m.members) == 0 && len(m.domains) == 0 }

func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// sendHeartbeats sends heartbeats to the monitored successors and to suspected members.
func (m *Membership) sendHeartbeats(ctx context.Context, now time.Time) {
	m.retriesLeft = maxRetriesPerHeartbeat
	m.gossip.expire(now)
	m.removeExpired(now)
	m.writeSelf(m.config.ConfigVersion())
	if m.departed {
		return
	}
	// Suspected members do not count as successors. Otherwise, if two neighbours die at
	// once, the third would be monitored only after both are declared dead.
	trusted := 0
	var suspected []*member
	for _, p := range m.ring() {
		if !p.suspectedAt.IsZero() {
			suspected = append(suspected, p)
		} else if trusted < monitoredSuccessors {
			trusted++
			m.startExchange(ctx, p)
		}
	}
	slices.SortStableFunc(suspected, func(a, b *member) int { return a.sentAt.Compare(b.sentAt) })
	for _, p := range suspected {
		m.startExchange(ctx, p)
	}
}

// probeDead sends a heartbeat to the dead member that was contacted least recently, so
// that two halves of a failure domain rejoin after a partition.
func (m *Membership) probeDead(ctx context.Context) {
	var dead *member
	for _, p := range m.members {
		if !p.alive() && !p.waiting() && (dead == nil || p.sentAt.Before(dead.sentAt)) {
			dead = p
		}
	}
	if dead != nil && !m.departed {
		dead.outbox.addRecord(dead.record.ID)
		m.startExchange(ctx, dead)
	}
}

// flush sends urgent data at once, and bulk gossip to members whose interval has passed.
func (m *Membership) flush(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	interval := time.Duration(len(m.members)) * time.Second / bulkMessagesPerSecond
	for _, p := range m.broadcastTargets() {
		if p.outbox.urgent || !p.outbox.empty() && now.Sub(p.sentAt) >= interval {
			m.startExchange(ctx, p)
		}
	}
	for _, d := range m.domains {
		if d.outbox.urgent && m.mayStart(&d.attempts, now) {
			m.sendSummary(ctx, d)
		}
	}
}

// hasUnsent reports whether urgent data has not reached an unsuspected broadcast target.
func (m *Membership) hasUnsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.broadcastTargets() {
		if p.suspectedAt.IsZero() && (p.waiting() || p.outbox.urgent) {
			return true
		}
	}
	return false
}
