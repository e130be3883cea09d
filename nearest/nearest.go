// Package nearest chooses the replica with the fewest requests of this node,
// in the own failure domain first: the plain policy that others are compared with.
package nearest

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// shunAfter is how many failures in a row take a replica out, and shunFor
	// for how long; after that one request tries it.
	shunAfter = 2
	shunFor   = time.Second
	// noReplicaRetryAfter is when a service without replicas may have one again.
	noReplicaRetryAfter = 2 * time.Second
	// farPenalty is how many requests a replica of another failure domain must
	// be ahead by, as a part of its slots, to be preferred: crossings are paid
	// for by the byte.
	farPenalty = 0.25
)

// Config says what a router works from.
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

// health is what this node's own requests met at a replica lately.
type health struct {
	failures int
	until    time.Time
}

var _ zinniamast.Router = (*Router)(nil)

// New returns a router that has observed nothing yet.
func New(config Config) *Router {
	return &Router{
		config: config,
		health: map[string]*health{},
	}
}

// Route implements zinniamast.Router.
func (r *Router) Route(need *zinniamast.Need) (zinniamast.Choice, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	best, shunned := r.least(need, now)
	if best == nil {
		best = shunned
	}
	if best == nil {
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"no replica of %s takes work", need.Service).After(noReplicaRetryAfter)
	}
	if known := r.health[best.Instance.ID]; known != nil && known.failures >= shunAfter {
		// One request tries a shunned replica; the next waits for its outcome.
		known.until = now.Add(shunFor)
	}
	return zinniamast.Choice{
		Upstream: best.Instance.ID,
	}, nil
}

// least returns the replica with the least load, and that among the shunned
// ones, which is used where there is no other: a whole service is never shut out.
func (r *Router) least(need *zinniamast.Need, now time.Time) (best, shunned *blackboard.Upstream) {
	all := r.config.Upstreams.Of(need.Service)
	if len(all) == 0 {
		return nil, nil
	}
	lowest, lowestShunned := 0.0, 0.0
	start := rand.IntN(len(all))
	for i := range all {
		u := all[(start+i)%len(all)]
		if u.Leaving() || slices.Contains(need.Avoid, u.Instance.ID) {
			continue
		}
		load := r.load(u)
		if known := r.health[u.Instance.ID]; known != nil && now.Before(known.until) {
			if shunned == nil || load < lowestShunned {
				shunned, lowestShunned = u, load
			}
			continue
		}
		if best == nil || load < lowest {
			best, lowest = u, load
		}
	}
	return best, shunned
}

// load is the part of the replica's slots that this node uses.
func (r *Router) load(u *blackboard.Upstream) float64 {
	load := float64(u.Inflight()) / float64(max(1, u.Slots))
	if u.Instance.FailureDomain != r.config.FailureDomain {
		load += farPenalty
	}
	return load
}

// Observe implements zinniamast.Router.
func (r *Router) Observe(o zinniamast.Observation) {
	if o.Kind != zinniamast.ObservedEnd {
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
	known := r.health[o.Upstream]
	if known == nil {
		known = &health{}
		r.health[o.Upstream] = known
	}
	known.failures++
	if known.failures >= shunAfter || o.Failure == zinniamast.FailureDial {
		known.failures = max(known.failures, shunAfter)
		known.until = time.Now().Add(shunFor)
	}
}

// Explain implements zinniamast.Router.
func (r *Router) Explain(string) string {
	return "the fewest requests of this node, in the own failure domain first"
}
