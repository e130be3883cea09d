package routing

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"zinniamast/blackboard"
)

// fleet is the replicas of one service, ready for bounded candidate sets.
type fleet struct {
	// source is the blackboard's snapshot that the fleet was built from.
	source []*blackboard.Upstream
	built  time.Time
	// replicas are all of them, near ones first.
	replicas []*replica
	// near is how many of them are drawn from by default.
	near int
	// spans means that the near ones run in more than one failure domain.
	spans bool
	ring  ring
	// longs are the near ones that long prompts are kept to.
	longs []*replica
}

const (
	// minNear is how many replicas a node draws from at least: with fewer, all
	// nodes of a small failure domain would crowd the same few.
	minNear = 24
	// rebuildEvery bounds the work of a wave of changes; leaving replicas are
	// recognised at once all the same.
	rebuildEvery = 50 * time.Millisecond
)

// fleet returns the service's replicas as the blackboard has them now.
func (r *Router) fleet(service string, now time.Time) *fleet {
	source := r.config.Board.Upstreams.Of(service)
	f, ok := r.fleets[service]
	if ok && same(f.source, source) {
		return f
	}
	if ok && len(source) > 0 && len(f.replicas) > 0 && now.Sub(f.built) < rebuildEvery {
		return f
	}
	f = r.build(source, now)
	r.fleets[service] = f
	return f
}

// same says whether two snapshots are the same slice.
func same(a, b []*blackboard.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (r *Router) build(source []*blackboard.Upstream, now time.Time) *fleet {
	f := &fleet{
		source:   source,
		built:    now,
		replicas: make([]*replica, 0, len(source)),
	}
	for _, upstream := range source {
		f.replicas = append(f.replicas, r.replica(upstream))
	}
	slices.SortFunc(f.replicas, func(a, b *replica) int {
		if a.distance != b.distance {
			return int(a.distance - b.distance)
		}
		return strings.Compare(a.id, b.id)
	})
	f.near = nearest(f.replicas)
	f.spans = spans(f.replicas[:f.near])
	f.ring = newRing(f.replicas[:f.near])
	f.longs = longs(f.replicas[:f.near])
	return f
}

// nearest returns the length of the shortest leading part with whole
// distances that holds minNear replicas.
func nearest(replicas []*replica) int {
	if len(replicas) <= minNear {
		return len(replicas)
	}
	end := minNear
	for end < len(replicas) && replicas[end].distance == replicas[end-1].distance {
		end++
	}
	return end
}

// longPart is the part of the near replicas that long prompts are kept to
// where that delays them little. A long prompt evicts a dozen short ones, which
// are asked for more often: spread evenly, a flood of long prompts empties
// every cache.
const longPart = 0.4

// longs marks that part, the same on every node.
func longs(near []*replica) []*replica {
	order := slices.Clone(near)
	slices.SortFunc(order, func(a, b *replica) int { return cmp.Compare(mix(a.hash, 1), mix(b.hash, 1)) })
	marked := order[:int(math.Ceil(longPart*float64(len(order))))]
	for _, p := range near {
		p.long = false
	}
	for _, p := range marked {
		p.long = true
	}
	return marked
}

func spans(replicas []*replica) bool {
	for _, p := range replicas {
		if p.upstream.Instance.FailureDomain != replicas[0].upstream.Instance.FailureDomain {
			return true
		}
	}
	return false
}

// replica returns the router's state of an upstream. A new start under the
// same ID begins with an empty cache and a closed circuit.
func (r *Router) replica(upstream *blackboard.Upstream) *replica {
	id := upstream.Instance.ID
	known, ok := r.replicas[id]
	if ok && known.upstream == upstream {
		return known
	}
	if ok {
		r.forget(known)
	}
	r.serial++
	plain := r.isPlain(upstream)
	fresh := newReplica(upstream, r.serial, r.distance(upstream.Instance.FailureDomain), plain)
	fresh.speed = r.speed(upstream, plain)
	fresh.price = r.price(upstream)
	fresh.told = r.toldOf(upstream.Instance)
	r.replicas[id] = fresh
	r.bySerial[fresh.serial] = fresh
	r.byHash[fresh.short()] = fresh
	return fresh
}

// isPlain says whether a replica answers calls, whose time depends on how many
// run there, and not prompts.
func (r *Router) isPlain(upstream *blackboard.Upstream) bool {
	if upstream.Engine != nil {
		return false
	}
	if upstream.Service != nil {
		return true
	}
	return r.config.Plain != nil && r.config.Plain(upstream.Instance.Service)
}

// forget drops a replica that the blackboard no longer has.
func (r *Router) forget(old *replica) {
	delete(r.replicas, old.id)
	delete(r.bySerial, old.serial)
	if r.byHash[old.short()] == old {
		delete(r.byHash, old.short())
	}
}

func (r *Router) distance(domain string) time.Duration {
	if domain == r.config.FailureDomain {
		return 0
	}
	if known, ok := r.config.Distances[domain]; ok {
		return known
	}
	return defaultDistance
}
