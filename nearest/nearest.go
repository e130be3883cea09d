// Package nearest implements a least-loaded routing policy. It routes to the replica
// with the fewest in-flight requests of this node and prefers the node's own failure
// domain. It is the baseline with which other policies are compared.
package nearest

import (
	"math/rand/v2"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a replica
	// is ejected for ejectionTime. After that, one request probes it.
	ejectAfterFailures = 2
	ejectionTime       = time.Second
	// noReplicaRetryAfter is the time in which a service without replicas may get
	// one again.
	noReplicaRetryAfter = 2 * time.Second
	// crossDomainPenalty is the difference in load, as a fraction of a replica's
	// slots, by which a replica in another failure domain must be less loaded to be
	// preferred. Traffic between failure domains is charged per byte.
	crossDomainPenalty = 0.25
)

// Config holds the settings of a Router.
type Config struct {
	Upstreams     *blackboard.Upstreams
	FailureDomain string
}

// Router implements zinniamast.Router.
type Router struct {
	config Config

	mu     sync.Mutex
	health map[string]*health
}

// health holds the recent consecutive failures of this node's requests at a replica.
type health struct {
	failures     int
	ejectedUntil time.Time
}

var _ zinniamast.Router = (*Router)(nil)

// New returns a router without observations.
func New(config Config) *Router {
	return &Router{
		config: config,
		health: map[string]*health{},
	}
}

// Route implements zinniamast.Router.
func (r *Router) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	best, ejected := r.leastLoaded(request, now)
	if best == nil {
		best = ejected
	}
	if best == nil {
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"no replica of %s takes work", request.Service).WithRetryAfter(noReplicaRetryAfter)
	}
	if h := r.health[best.Instance.ID]; h != nil && h.failures >= ejectAfterFailures {
		// One request probes an ejected replica. Others avoid it until the probe succeeds
		// or ejectionTime has passed again.
		h.ejectedUntil = now.Add(ejectionTime)
	}
	return zinniamast.Choice{
		Upstream: best.Instance.ID,
	}, nil
}

// leastLoaded returns the least loaded replica and the least loaded ejected one.
// The latter is used if there is no other, so that a service never becomes
// unavailable because all of its replicas are ejected.
func (r *Router) leastLoaded(request *zinniamast.RouteRequest, now time.Time) (best, ejected *blackboard.Upstream) {
	all := r.config.Upstreams.Of(request.Service)
	if len(all) == 0 {
		return nil, nil
	}
	lowest, lowestEjected := 0.0, 0.0
	start := rand.IntN(len(all))
	for i := range all {
		u := all[(start+i)%len(all)]
		if !u.Accepts(request) {
			continue
		}
		load := r.load(u)
		if h := r.health[u.Instance.ID]; h != nil && now.Before(h.ejectedUntil) {
			if ejected == nil || load < lowestEjected {
				ejected, lowestEjected = u, load
			}
			continue
		}
		if best == nil || load < lowest {
			best, lowest = u, load
		}
	}
	return best, ejected
}

// load returns the fraction of the replica's slots that this node uses, plus
// crossDomainPenalty for a replica in another failure domain.
func (r *Router) load(u *blackboard.Upstream) float64 {
	load := float64(u.Inflight()) / float64(max(1, u.Slots))
	if u.Instance.FailureDomain != r.config.FailureDomain {
		load += crossDomainPenalty
	}
	return load
}

// Observe implements zinniamast.Router.
func (r *Router) Observe(o zinniamast.Observation) {
	if o.Kind != zinniamast.ObservedEnd && o.Kind != zinniamast.ObservedSilent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Failure == "" {
		delete(r.health, o.Upstream)
		return
	}
	if !zinniamast.FailureOutcomes[o.Failure].BlamesReplica {
		return
	}
	h := r.health[o.Upstream]
	if h == nil {
		h = &health{}
		r.health[o.Upstream] = h
	}
	h.failures++
	if h.failures >= ejectAfterFailures || o.Failure == zinniamast.FailureDial {
		h.failures = max(h.failures, ejectAfterFailures)
		h.ejectedUntil = time.Now().Add(ejectionTime)
	}
}

// Explain implements zinniamast.Router.
func (r *Router) Explain(string) string {
	return "the fewest requests of this node, in the own failure domain first"
}
