package routing

import (
	"time"

	"zinniamast"
)

// circuit is the health of one replica as this node sees it.
type circuit struct {
	// score counts recent blame; it opens the circuit at openAt.
	score int
	// until is when an open circuit lets a probe through; zero while closed.
	until time.Time
	// opened counts openings in a row and lengthens the next.
	opened int
	// word is when news of another node's failures expires.
	word time.Time
}

const (
	// openAt is the blame that opens a circuit.
	openAt = 3
	// openAtWithWord is enough if another node reports failures as well.
	openAtWithWord = 1
	// firstOpen and longestOpen bound how long a replica is shunned before a probe.
	firstOpen   = time.Second
	longestOpen = 30 * time.Second
	// maxShunned is the share of a service's replicas that a node may shun. If
	// more seem to fail, the fault is more likely the node's own or the
	// service's, and crowding the rest would make it worse.
	maxShunned = 0.5
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
		return openAt
	case failure == zinniamast.FailureReset:
		return 2
	default:
		return 1
	}
}

// open says whether the replica is shunned now.
func (c *circuit) open(now time.Time) bool { return now.Before(c.until) }

func (c *circuit) succeed() {
	c.score = 0
	c.opened = 0
	c.until = time.Time{}
}

// fail counts blame of a send that began at a time, and reports whether the
// circuit opens.
//
// Failure: a failure domain is cut off for five seconds. Sends that were on their
// way to one of its replicas fail one after the other, each opens the circuit
// anew for twice as long, and the replica stays shunned for half a minute after
// it is reached again. An opening answers all sends that began before it ended;
// only a probe after it tells something new.
func (c *circuit) fail(weight int, began, now time.Time) bool {
	if began.Before(c.until) {
		return false
	}
	c.score += weight
	enough := openAt
	if now.Before(c.word) {
		enough = openAtWithWord
	}
	if c.opened == 0 && c.score < enough {
		return false
	}
	wait := min(firstOpen<<min(c.opened, 5), longestOpen)
	c.until = now.Add(wait)
	c.opened++
	c.score = 0
	return true
}

// failed counts a failure against the replica, and shuns it unless the node
// shuns too many already.
func (r *Router) failed(p *replica, failure zinniamast.Failure, began, now time.Time) {
	weight := blame(failure)
	if weight == 0 {
		return
	}
	if !p.circuit.fail(weight, began, now) {
		return
	}
	if !r.mayShun(p.upstream.Instance.Service, now) {
		p.circuit.until = time.Time{}
		r.metrics.circuits.WithLabelValues(circuitCapped).Inc()
		return
	}
	r.metrics.circuits.WithLabelValues(circuitOpened).Inc()
	r.publishCircuit(p, now)
	r.config.Logger.Warn("circuit opened", "upstream", p.id, "failure", string(failure),
		"until", p.circuit.until.Sub(now).String())
}

// mayShun says whether the share of shunned replicas, the newest included, is within bounds.
func (r *Router) mayShun(service string, now time.Time) bool {
	f, ok := r.fleets[service]
	if !ok {
		return true
	}
	shunned := 0
	for _, p := range f.replicas {
		if p.circuit.open(now) {
			shunned++
		}
	}
	return float64(shunned) <= maxShunned*float64(len(f.replicas))
}
