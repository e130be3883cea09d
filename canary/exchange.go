package canary

import (
	"log/slog"
	"time"

	"zinniamast"
)

// The counts of all nodes travel with the load reports: each node sends its own to the
// reader of its failure domain, and the reader sends the sum of its failure domain to the
// readers of the others. Readers and the leader judge.

const (
	// reportLifetime is how long a report counts as recent.
	reportLifetime = 2500 * time.Millisecond
	// nodeRetention is how long a node that reports no more is taken to be running somewhere
	// out of reach, unless it had settled.
	nodeRetention = 15 * time.Second
	// settleTime is the time from the last grant that allows requests to old versions until
	// no send can be between its choice of a replica and its start.
	settleTime = 400 * time.Millisecond
	// minRateSpan is the shortest time over which answers are counted for their rate.
	minRateSpan = 1500 * time.Millisecond
)

// Standing is how far the requests have moved at some nodes.
type Standing struct {
	// Nodes is the number of nodes, and Settled that of those that send nothing to old
	// versions any more and have nothing running there.
	Nodes   int
	Settled int
	// Refusing is the number of nodes that have condemned the new version.
	Refusing int
	// Running is the number of attempts at old versions.
	Running int
	// Longest is the longest time of an attempt there lately.
	Longest time.Duration
}

func (s *Standing) add(other Standing) {
	s.Nodes += other.Nodes
	s.Settled += other.Settled
	s.Refusing += other.Refusing
	s.Running += other.Running
	s.Longest = max(s.Longest, other.Longest)
}

// NodeReport is what a node has counted for a rollout, and where it stands.
type NodeReport struct {
	Service string
	Order   uint64
	// Fence and Step identify the grant that the node follows.
	Fence    uint64
	Step     uint64
	Slots    Slots
	Standing Standing
}

// DomainReport is the sum over the nodes of a failure domain.
type DomainReport struct {
	Service string
	// FailureDomain is the nodes' failure domain.
	FailureDomain string
	Order         uint64
	// Fence and Step identify the grant that Standing is about.
	Fence    uint64
	Step     uint64
	Slots    Slots
	Standing Standing
	// Finding is what the node that made the sum has found, over all failure domains.
	Finding Finding
	// Age is the time since the sum was made; it is relative because nodes share no clock.
	Age time.Duration
}

type receivedNode struct {
	report NodeReport
	at     time.Time
}

type receivedDomain struct {
	report DomainReport
	at     time.Time
}

// Report returns this node's reports for the reader of its failure domain.
func (c *Canary) Report() []NodeReport {
	now := c.config.Now()
	slot := slotOf(c.config.TrueTime())
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []NodeReport
	for _, s := range c.services {
		if s.isActive() {
			reports = append(reports, c.report(s, slot, now))
		}
	}
	return reports
}

// report returns this node's report on a service. The caller holds the lock.
func (c *Canary) report(s *service, slot int64, now time.Time) NodeReport {
	s.own.dropBefore(slot - openSlots)
	s.versions.update(c.config.Upstreams.Of(s.name))
	standing := Standing{
		Nodes:   1,
		Running: s.versions.running(s.order.Version),
		Longest: s.longest,
	}
	switch {
	case s.condemned[s.order.Version]:
		standing.Refusing = 1
	case s.isSealed() && standing.Running == 0 && now.Sub(s.sealedAt) >= settleTime:
		standing.Settled = 1
	}
	return NodeReport{
		Service:  s.name,
		Order:    s.order.Revision,
		Fence:    s.grant.Fence,
		Step:     s.grant.Step,
		Slots:    s.own.since(slot - openSlots),
		Standing: standing,
	}
}

// ReceiveNode records the reports of a node of this failure domain.
func (c *Canary) ReceiveNode(node string, reports []NodeReport) {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		if s := c.service(r.Service); r.Order == s.order.Revision {
			s.nodes[node] = receivedNode{
				report: r,
				at:     now,
			}
		}
	}
}

// SumDomain adds up the reports of the nodes of this failure domain, and judges. The reader
// calls it.
func (c *Canary) SumDomain() {
	now := c.config.Now()
	slot := slotOf(c.config.TrueTime())
	live := c.config.LiveNodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if !s.isActive() {
			continue
		}
		s.nodes[c.config.Node] = receivedNode{
			report: c.report(s, slot, now),
			at:     now,
		}
		s.receive(c.sum(s, live, slot, now), now)
		c.judgeService(s, slot)
	}
}

// sum returns the report of this failure domain on a service. The caller holds the lock.
func (c *Canary) sum(s *service, live []string, slot int64, now time.Time) DomainReport {
	sum := DomainReport{
		Service:       s.name,
		FailureDomain: c.config.FailureDomain,
		Order:         s.order.Revision,
		Fence:         s.grant.Fence,
		Step:          s.grant.Step,
		Slots:         Slots{},
		Finding:       s.finding,
	}
	for _, node := range live {
		if _, ok := s.nodes[node]; !ok {
			sum.Standing.Nodes++
		}
	}
	for node, received := range s.nodes {
		r, age := received.report, now.Sub(received.at)
		sum.Slots.add(r.Slots.since(slot - openSlots))
		isSettled := r.Standing.Settled > 0 && r.Fence == s.grant.Fence
		if age > nodeRetention {
			delete(s.nodes, node)
			continue
		}
		if age > reportLifetime && !isSettled {
			// It may have attempts that it cannot tell of.
			r.Standing.Running++
		}
		if !isSettled {
			r.Standing.Settled = 0
		}
		sum.Standing.add(r.Standing)
	}
	return sum
}

// receive records the report of a failure domain unless a newer one is known.
func (s *service) receive(r DomainReport, now time.Time) {
	at := now.Add(-r.Age)
	known, ok := s.domains[r.FailureDomain]
	if ok && !at.After(known.at) && at.Before(known.at) {
		return
	}
	slots := Slots{}
	if ok {
		slots = known.report.Slots
	}
	for slot, tallies := range r.Slots {
		// Another reader may know the counts of fewer nodes.
		if tallies.size() >= slots[slot].size() {
			slots[slot] = tallies
		}
	}
	r.Slots = slots
	s.domains[r.FailureDomain] = receivedDomain{
		report: r,
		at:     at,
	}
}

// Domains returns the reports of one failure domain, or of all if failureDomain is empty.
func (c *Canary) Domains(failureDomain string) []DomainReport {
	now := c.config.Now()
	slot := slotOf(c.config.TrueTime())
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []DomainReport
	for _, s := range c.services {
		if !s.isActive() {
			continue
		}
		for domain, received := range s.domains {
			if failureDomain != "" && failureDomain != domain {
				continue
			}
			r := received.report
			r.Slots = r.Slots.since(slot - openSlots)
			r.Age = now.Sub(received.at)
			reports = append(reports, r)
		}
	}
	return reports
}

// ReceiveDomains records the reports of failure domains, and judges.
func (c *Canary) ReceiveDomains(reports []DomainReport) {
	now := c.config.Now()
	slot := slotOf(c.config.TrueTime())
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := map[*service]bool{}
	for _, r := range reports {
		s := c.service(r.Service)
		if r.Order != s.order.Revision || !s.isActive() {
			continue
		}
		s.receive(r, now)
		changed[s] = true
	}
	for s := range changed {
		c.judgeService(s, slot)
	}
}

// judgeService judges the new version of a service. The caller holds the lock.
func (c *Canary) judgeService(s *service, slot int64) {
	sums := Slots{}
	first := slot
	for _, received := range s.domains {
		for number := range received.report.Slots {
			first = min(first, number)
		}
		sums.add(received.report.Slots)
	}
	if s.closedUntil == 0 {
		s.closedUntil = first
		s.judge.from = first
	}
	var closed, open []Tallies
	for number := s.closedUntil; number <= slot+1; number++ {
		switch tallies := sums[number]; {
		case tallies == nil:
		case number <= slot-openSlots:
			closed = append(closed, tallies)
		default:
			open = append(open, tallies)
		}
	}
	s.judge.close(closed)
	s.closedUntil = max(s.closedUntil, slot-openSlots+1)
	for _, received := range s.domains {
		received.report.Slots.dropBefore(s.closedUntil)
	}
	s.finding = s.judge.find(open)
	c.metrics.observe(s)
	if s.finding.isBad() && !s.isSealed() {
		c.condemnAndTell(s, s.finding)
	}
}

// bestFinding returns the finding over the most answers: this node's, or that of a node that
// has judged for longer.
func (s *service) bestFinding(now time.Time) Finding {
	best := s.finding
	for _, received := range s.domains {
		if found := received.report.Finding; found.Total > best.Total && now.Sub(received.at) <= reportLifetime {
			best = found
		}
	}
	return best
}

// Status is what a node knows of the rollout of a service.
type Status struct {
	Service string
	Version string
	Grant   Grant
	// LogRatio is how much the answers speak against the new version, and Answers their number.
	LogRatio   float64
	Answers    float64
	AllAnswers float64
	// OwnAnswers are those that this node knows itself.
	OwnAnswers float64
	// Rate is the number of answers of all versions a second.
	Rate        float64
	IsCondemned bool
	// Doubts are what keeps the new version back.
	Doubts Doubts
	// Usual, IsDisturbed and Renewals are those of the finding.
	Usual       []zinniamast.RouteFailures
	IsDisturbed bool
	Renewals    int
	// Standing is the sum over the failure domains; IsComplete means that those asked for
	// have all reported lately, about this grant.
	Standing   Standing
	IsComplete bool
	// Unheard are the failure domains asked for that have not.
	Unheard []string
}

// evidence returns what is logged of the answers.
func (s *Status) evidence() slog.Attr {
	return slog.Group("", "log_ratio", s.LogRatio, "doubt_failures", s.Doubts.Failures, "doubt_slow", s.Doubts.Slow,
		"answers", s.Answers, "all_answers", s.AllAnswers,
		"old_fail", s.IsDisturbed, "renewals", s.Renewals)
}

// Status returns what this node knows of the rollout of a service, where the reports of the
// given failure domains are expected.
func (c *Canary) Status(name string, expected []string) Status {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	found := s.bestFinding(now)
	status := Status{
		Service:     name,
		Version:     s.order.Version,
		Grant:       s.grant,
		LogRatio:    found.LogBad,
		Answers:     found.Answers,
		AllAnswers:  found.Total,
		OwnAnswers:  s.finding.Answers,
		Rate:        found.rate(slotOf(c.config.TrueTime())),
		IsCondemned: s.condemned[s.order.Version],
		Doubts:      found.Doubts,
		Usual:       found.Usual,
		IsDisturbed: found.IsDisturbed,
		Renewals:    found.Renewals,
		IsComplete:  true,
	}
	for _, domain := range expected {
		received, ok := s.domains[domain]
		if !ok || now.Sub(received.at) > reportLifetime || received.report.Fence != s.grant.Fence {
			status.IsComplete = false
			status.Unheard = append(status.Unheard, domain)
		}
	}
	for _, received := range s.domains {
		status.Standing.add(received.report.Standing)
	}
	return status
}
