package membership

import (
	"context"
	"time"
)

// suspect begins or continues the suspicion of a member whose exchange failed
// or is late; the caller holds the lock.
func (m *Membership) suspect(ctx context.Context, p *member) {
	if !p.alive() || ctx.Err() != nil && context.Cause(ctx) == context.Canceled {
		return
	}
	if p.suspectedAt.IsZero() {
		p.suspectedAt = p.sentAt
	}
	if now := time.Now(); !p.probing && now.Sub(p.probedAt) >= heartbeatInterval {
		p.probedAt = now
		m.startIndirectProbe(ctx, p)
	}
}

// startIndirectProbe has other nodes try the member. One link that fails, or works one way
// only, must not make a member dead that the others reach.
func (m *Membership) startIndirectProbe(ctx context.Context, p *member) {
	addresses := m.helperAddresses(p)
	probe := Probe{
		ID:      p.record.ID,
		Address: p.record.Address,
	}
	p.probing = true
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		reached, answered := m.probeThrough(context.WithoutCancel(ctx), addresses, probe)
		m.mu.Lock()
		defer m.mu.Unlock()
		p.probing = false
		if reached {
			p.clearSuspicion()
			return
		}
		// Where nobody answers, this node is the one cut off: it keeps its table.
		// Only where there is nobody to ask does its own doubt decide.
		p.unreachable = answered || len(addresses) == 0
		m.isolated = !p.unreachable
	}()
}

// helperAddresses picks living members of this domain, then contacts in others,
// and then members in doubt themselves: a node that doubts all the others is cut
// off, and must find that nobody answers, not that there is nobody to ask. The
// caller holds the lock.
func (m *Membership) helperAddresses(p *member) []string {
	var trusted, doubted []string
	for _, other := range m.ring() {
		switch {
		case other == p:
		case other.suspectedAt.IsZero():
			trusted = append(trusted, other.record.Address)
		default:
			doubted = append(doubted, other.record.Address)
		}
	}
	for _, d := range m.domains {
		if len(d.summary.Contacts) > 0 {
			trusted = append(trusted, d.summary.Contacts[0].Address)
		}
	}
	addresses := append(trusted, doubted...)
	return addresses[:min(len(addresses), maxProbeHelpers)]
}

func (m *Membership) probeThrough(ctx context.Context, addresses []string, probe Probe) (reached, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	type outcome struct {
		result ProbeResult
		err    error
	}
	outcomes := make(chan outcome, len(addresses))
	for _, address := range addresses {
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			result, err := m.config.Transport.Probe(ctx, address, probe)
			outcomes <- outcome{
				result: result,
				err:    err,
			}
		}()
	}
	for range addresses {
		o := <-outcomes
		answered = answered || o.err == nil
		if o.err == nil && o.result.Reached {
			return true, true
		}
	}
	return false, answered
}

// ProbeFor tries another node on a peer's behalf.
func (m *Membership) ProbeFor(probe Probe) ProbeResult {
	m.mu.Lock()
	message := m.newExchange()
	message.Domain = m.config.FailureDomain
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), indirectTimeout*3/4)
	defer cancel()
	answer, err := m.config.Transport.Exchange(ctx, probe.Address, message)
	return ProbeResult{
		Reached: err == nil && answer.From == probe.ID,
	}
}

// checkSuspicions declares the members dead whose window is over; the caller holds the lock.
func (m *Membership) checkSuspicions(ctx context.Context, now time.Time) {
	for _, p := range m.members {
		if !p.alive() {
			continue
		}
		if p.inFlight && now.Sub(p.sentAt) >= probeTimeout {
			m.suspect(ctx, p)
		}
		if p.suspectedAt.IsZero() || !p.unreachable || now.Sub(p.suspectedAt) < p.suspicionTimeout(now) {
			continue
		}
		dead := p.record
		dead.State = Dead
		m.config.Logger.Warn("member_declared_dead", "member", dead.ID, "silent", now.Sub(p.suspectedAt).String())
		m.mergeRecord(dead)
		m.broadcastRecord(dead.ID)
	}
}

// resetAfterPause drops all doubts if this node itself stood still: what it missed in
// its pause says nothing of the others.
func (m *Membership) resetAfterPause(now time.Time) {
	late := now.Sub(m.stepAt)
	first := m.stepAt.IsZero()
	m.stepAt = now
	if first || late < probeTimeout {
		return
	}
	m.config.Logger.Warn("node_paused", "pause", late.String())
	for _, p := range m.members {
		p.clearSuspicion()
		p.sentAt = now
	}
}
