package membership

import (
	"context"
	"time"
)

// suspect starts or continues the suspicion of a member whose exchange failed or is
// late; the caller holds the lock.
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

// startIndirectProbe lets other nodes probe a member. A link that fails, or works in one
// direction only, must not cause a member to be declared dead that others can reach.
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
		// If no helper answers, this node itself is cut off and keeps its table. Its own
		// suspicion decides only if there is no helper to ask.
		p.unreachable = answered || len(addresses) == 0
		m.isolated = !p.unreachable
		m.lacksGossip = m.lacksGossip || m.isolated
	}()
}

// helperAddresses picks helpers for an indirect probe: members of this failure domain
// that are not suspected, then contacts in other domains, then suspected members. The
// latter let a node that suspects all others find that no helper answers, which means
// that it is cut off, and not that there is no helper. The caller holds the lock.
func (m *Membership) helperAddresses(p *member) []string {
	var trusted, suspected []string
	for _, other := range m.ring() {
		switch {
		case other == p:
		case other.suspectedAt.IsZero():
			trusted = append(trusted, other.record.Address)
		default:
			suspected = append(suspected, other.record.Address)
		}
	}
	for _, d := range m.domains {
		if len(d.summary.Contacts) > 0 {
			trusted = append(trusted, d.summary.Contacts[0].Address)
		}
	}
	addresses := append(trusted, suspected...)
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

// ProbeFor probes another node on behalf of a peer.
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

// checkSuspicions suspects members whose exchange is late, and declares those dead
// whose suspicion timeout has passed; the caller holds the lock.
func (m *Membership) checkSuspicions(ctx context.Context, now time.Time) {
	for _, p := range m.members {
		if !p.alive() {
			continue
		}
		if p.waiting() && now.Sub(p.waitingSince) >= probeTimeout {
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

// resetAfterPause clears all suspicions if this process was paused, since missing
// answers during the pause do not indicate a fault of the other nodes.
func (m *Membership) resetAfterPause(now time.Time) {
	sinceLastStep := now.Sub(m.stepAt)
	isFirst := m.stepAt.IsZero()
	m.stepAt = now
	if isFirst || sinceLastStep < probeTimeout {
		return
	}
	m.lacksGossip = true
	m.config.Logger.Warn("node_paused", "pause", sinceLastStep.String())
	for _, p := range m.members {
		p.clearSuspicion()
		p.sentAt = now
		if p.waiting() {
			p.waitingSince = now
		}
	}
}
