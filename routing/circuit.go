package routing

import (
	"time"

	"zinniamast"
)

// circuit is the health of one replica as this node sees it.
type circuit struct {
	// blameScore counts recent blame; it opens the circuit at openAt.
	blameScore int
	// openUntil is when an open circuit lets a probe through; zero while closed.
	openUntil time.Time
	// consecutiveOpenings counts openings in a row and lengthens the next.
	consecutiveOpenings int
	// peerReportExpires is when news of another node's failures expires.
	peerReportExpires time.Time
}

const (
	// openThreshold is the blame that opens a circuit.
	openThreshold = 3
	// openThresholdWithPeerReport is enough if another node reports failures as well.
	openThresholdWithPeerReport = 1
	// minOpenDuration and longestOpen bound how long a replica is shunned before a probe.
	minOpenDuration = time.Second
	maxOpenDuration = 30 * time.Second
	// maxOpenCircuitShare is the share of a service's replicas that a node may shun. If
	// more seem to fail, the fault is more likely the node's own or the
	// service's, and crowding the rest would make it worse.
	maxOpenCircuitShare = 0.5
)

// blame is how much a failure counts. A connection that is not even taken
// means that the process is gone: each further try would cost a request its
// retry. A death in the middle may be the request's own doing.
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

// isOpen says whether the replica is shunned now.
func (c *circuit) isOpen(now time.Time) bool { return now.Before(c.openUntil) }

func (c *circuit) close() {
	c.blameScore = 0
	c.consecutiveOpenings = 0
	c.openUntil = time.Time{}
}

// recordFailure counts blame of a send that began at a time, and reports whether the
// circuit opens.
//
// Failure: a failure domain is cut off for five seconds. Sends that were on their
// way to one of its replicas fail one after the other, each opens the circuit
// anew for twice as long, and the replica stays shunned for half a minute after
// it is reached again. An opening answers all sends that began before it ended;
// only a probe after it tells something new.
func (c *circuit) recordFailure(weight int, began, now time.Time) bool {
	if began.Before(c.openUntil) {
		return false
	}
	c.blameScore += weight
	enough := openThreshold
	if now.Before(c.peerReportExpires) {
		enough = openThresholdWithPeerReport
	}
	if c.consecutiveOpenings == 0 && c.blameScore < enough {
		return false
	}
	wait := min(minOpenDuration<<min(c.consecutiveOpenings, 5), maxOpenDuration)
	c.openUntil = now.Add(wait)
	c.consecutiveOpenings++
	c.blameScore = 0
	return true
}

// recordFailure counts a failure against the replica, and shuns it unless the node
// shuns too many already.
func (r *Router) recordFailure(p *replica, failure zinniamast.Failure, began, now time.Time) {
	weight := blame(failure)
	if weight == 0 {
		return
	}
	if !p.circuit.recordFailure(weight, began, now) {
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

// mayOpenCircuit says whether the share of shunned replicas, the newest included, is within bounds.
func (r *Router) mayOpenCircuit(service string, now time.Time) bool {
	f, ok := r.fleets[service]
	if !ok {
		return true
	}
	shunned := 0
	for _, p := range f.replicas {
		if p.circuit.isOpen(now) {
			shunned++
		}
	}
	return float64(shunned) <= maxOpenCircuitShare*float64(len(f.replicas))
}
