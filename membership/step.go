package membership

import (
	"context"
	"time"
)

// bulkMessagesPerSecond is how many bulk messages a second a node sends; with more members
// each hears less often, so that the node's traffic stays bounded.
const bulkMessagesPerSecond = 4

// Bulk news may cost bulkBytesASecond, saved up to bulkBytesSaved. Above that
// items wait, and newer ones replace them: news gets older, not dearer.
const (
	bulkBytesPerSecond = 850
	bulkBurstBytes     = 1500
	itemOverheadBytes  = 60
)

// step does what is due.
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
	summarise := due(&m.summaryAt, now, summaryInterval) && m.isRepresentative()
	m.mu.Unlock()
	m.flush(ctx)
	if summarise {
		m.sendSummaries(ctx)
	}
	m.mu.Lock()
	seeds := m.isSeedingDue(now)
	m.mu.Unlock()
	if seeds {
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			m.join(ctx)
		}()
	}
}

// isSeedingDue says whether to ask nodes not known yet. Once joined only the
// representatives do, or the few seeds would hear from the whole fleet.
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

// isAlone says whether no other node is known; the caller holds the lock.
func (m *Membership) isAlone() bool { return len(m.members) == 0 && len(m.domains) == 0 }

func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// sendHeartbeats sends heartbeats to the watched members and to those in doubt.
func (m *Membership) sendHeartbeats(ctx context.Context, now time.Time) {
	m.gossip.expire(now)
	m.removeExpired(now)
	m.writeSelf(m.config.ConfigVersion())
	if m.departed {
		return
	}
	// Those in doubt do not count: with two neighbours dead at once, the third
	// would otherwise be watched only after their deaths are certain.
	trusted := 0
	for _, p := range m.ring() {
		if !p.suspectedAt.IsZero() {
			m.startExchange(ctx, p)
		} else if trusted < watchedSuccessors {
			trusted++
			m.startExchange(ctx, p)
		}
	}
}

// probeDead tries one dead member after another, so that two halves of a
// domain find each other again after a partition.
func (m *Membership) probeDead(ctx context.Context) {
	var dead *member
	for _, p := range m.members {
		if !p.alive() && !p.inFlight && (dead == nil || p.sentAt.Before(dead.sentAt)) {
			dead = p
		}
	}
	if dead != nil && !m.departed {
		dead.outbox.addRecord(dead.record.ID)
		m.startExchange(ctx, dead)
	}
}

// flush sends what is urgent, and bulk news to those whose turn it is.
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
		if d.outbox.urgent && !d.inFlight {
			m.sendSummary(ctx, d)
		}
	}
}

// hasUnsent says whether a living member has yet to hear something urgent.
func (m *Membership) hasUnsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.broadcastTargets() {
		if p.suspectedAt.IsZero() && (p.inFlight || p.outbox.urgent) {
			return true
		}
	}
	return false
}
