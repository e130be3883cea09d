package routing

import (
	"time"

	"zinniamast"
)

// circuit is this node's circuit breaker for one replica.
type circuit struct {
	// blameScore sums the blame of recent failures; the circuit opens at openThreshold.
	blameScore int
	// openUntil is when an open circuit allows a probe; zero while closed.
	openUntil time.Time
	// consecutiveOpenings counts openings without a success; each doubles the next duration.
	consecutiveOpenings int
	// peerReportExpires is when another node's report of failures expires.
	peerReportExpires time.Time
}

const (
	// openThreshold is the blame score that opens a circuit.
	openThreshold = 3
	// openThresholdWithPeerReport applies while another node reports failures as well.
	openThresholdWithPeerReport = 1
	// minOpenDuration and maxOpenDuration bound how long a circuit stays open before a probe.
	minOpenDuration = time.Second
	maxOpenDuration = 30 * time.Second
	// maxOpenCircuitShare is the share of a service's replicas whose circuits may be
	// open at a node. If more seem to fail, the fault is more likely the node's own or
	// the service's, and sending all requests to the rest would make it worse.
	maxOpenCircuitShare = 0.5
)

// blame returns the weight of a failure. A refused connection means that the
// process has ended, and each further try would use up a request's retry. A reset
// during a request may have been caused by the request itself.
func blame(failure zinniamast.Failure) int {
	outcome, ok := zinniamast.FailureOutcomes[failure]
	switch {
	case ok && !outcome.BlamesReplica:
		return 0
	case failure == zinniamast.FailureDial:
		return openThreshold
	case failure == zinniamast.FailureReset:
		return 2
	default:
		return 1
	}
}

// isOpen reports whether the circuit is open at a time.
func (c *circuit) isOpen(now time.Time) bool { return now.Before(c.openUntil) }

func (c *circuit) close() {
	c.blameScore = 0
	c.consecutiveOpenings = 0
	c.openUntil = time.Time{}
}

// addBlame adds the weight of a failed attempt that began at the given time, and
// reports whether the circuit opens.
//
// Failures of attempts that began before the last opening ended are ignored; only a
// probe after it is new evidence. Otherwise, if a failure domain is unreachable for
// five seconds, the attempts in flight to one of its replicas fail one after the
// other, each opens the circuit again for twice as long, and the replica stays
// excluded for half a minute after it is reachable again.
func (c *circuit) addBlame(weight int, began, now time.Time) bool {
	if began.Before(c.openUntil) {
		return false
	}
	c.blameScore += weight
	threshold := openThreshold
	if now.Before(c.peerReportExpires) {
		threshold = openThresholdWithPeerReport
	}
	if c.consecutiveOpenings == 0 && c.blameScore < threshold {
		return false
	}
	wait := min(minOpenDuration<<min(c.consecutiveOpenings, 5), maxOpenDuration)
	c.openUntil = now.Add(wait)
	c.consecutiveOpenings++
	c.blameScore = 0
	return true
}

// recordFailure counts a failure of an attempt at the replica. If its circuit opens
// while too many others are open, the circuit is closed again.
func (r *Router) recordFailure(p *replica, failure zinniamast.Failure, began, now time.Time) {
	weight := blame(failure)
	if weight == 0 {
		return
	}
	if !p.circuit.addBlame(weight, began, now) {
		return
	}
	if !r.mayOpenCircuit(p.upstream.Instance.Service, now) {
		p.circuit.openUntil = time.Time{}
		r.metrics.circuits.WithLabelValues(circuitCapped).Inc()
		return
	}
	r.metrics.circuits.WithLabelValues(circuitOpened).Inc()
	r.queueCircuitReport(p, now)
	r.config.Logger.Warn("circuit opened", "upstream", p.id, "failure", string(failure),
		"until", p.circuit.openUntil.Sub(now).String())
}

// mayOpenCircuit reports whether the share of replicas with open circuits, including
// the latest, is within maxOpenCircuitShare.
func (r *Router) mayOpenCircuit(service string, now time.Time) bool {
	f, ok := r.fleets[service]
	if !ok {
		return true
	}
	openCount := 0
	for _, p := range f.replicas {
		if p.circuit.isOpen(now) {
			openCount++
		}
	}
	return float64(openCount) <= maxOpenCircuitShare*float64(len(f.replicas))
}
