package routing

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"zinniamast/blackboard"
)

// fleet is an index of the replicas of one service, from which candidates are taken.
type fleet struct {
	// source is the blackboard's snapshot that the fleet was built from.
	source  []*blackboard.Upstream
	builtAt time.Time
	// replicas are sorted by distance, nearest first.
	replicas []*replica
	// nearCount is the length of the leading part that is sampled by default.
	nearCount int
	// spansFailureDomains means that the near replicas run in more than one failure domain.
	spansFailureDomains bool
	ring                ring
	// longPromptReplicas are the near replicas that long prompts prefer.
	longPromptReplicas []*replica
}

const (
	// minNearReplicas is the minimum number of near replicas: with fewer, all nodes of
	// a small failure domain would overload the same few.
	minNearReplicas = 24
	// minRebuildInterval bounds the work during a burst of changes. Leaving replicas
	// are still recognised at once.
	minRebuildInterval = 50 * time.Millisecond
)

// fleet returns the fleet of a service, and rebuilds it if the blackboard's snapshot
// has changed.
func (r *Router) fleet(service string, now time.Time) *fleet {
	source := r.config.Board.Upstreams.Of(service)
	f, ok := r.fleets[service]
	if ok && isSameSnapshot(f.source, source) {
		return f
	}
	if ok && len(source) > 0 && len(f.replicas) > 0 && now.Sub(f.builtAt) < minRebuildInterval {
		return f
	}
	f = r.buildFleet(source, now)
	r.fleets[service] = f
	return f
}

// isSameSnapshot reports whether two snapshots are the same slice.
func isSameSnapshot(a, b []*blackboard.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (r *Router) buildFleet(source []*blackboard.Upstream, now time.Time) *fleet {
	f := &fleet{
		source:   source,
		builtAt:  now,
		replicas: make([]*replica, 0, len(source)),
	}
	for _, upstream := range source {
		f.replicas = append(f.replicas, r.replica(upstream))
	}
	slices.SortFunc(f.replicas, func(a, b *replica) int {
		if a.roundTrip != b.roundTrip {
			return int(a.roundTrip - b.roundTrip)
		}
		return strings.Compare(a.id, b.id)
	})
	f.nearCount = countNear(f.replicas)
	f.spansFailureDomains = spansFailureDomains(f.replicas[:f.nearCount])
	f.ring = newRing(f.replicas[:f.nearCount])
	f.longPromptReplicas = markLongPromptReplicas(f.replicas[:f.nearCount])
	return f
}

// countNear returns the length of the shortest leading part that has at least
// minNearReplicas replicas and does not split replicas of equal distance.
func countNear(replicas []*replica) int {
	if len(replicas) <= minNearReplicas {
		return len(replicas)
	}
	end := minNearReplicas
	for end < len(replicas) && replicas[end].roundTrip == replicas[end-1].roundTrip {
		end++
	}
	return end
}

// longPromptShare is the share of the near replicas to which long prompts are sent if
// that delays them little. A long prompt evicts a dozen short ones, which are reused
// more often: spread evenly, a burst of long prompts would flush every cache.
const longPromptShare = 0.4

// markLongPromptReplicas marks and returns the replicas for long prompts. It selects
// them by hash, so that all nodes agree.
func markLongPromptReplicas(near []*replica) []*replica {
	ordered := slices.Clone(near)
	slices.SortFunc(ordered, func(a, b *replica) int { return cmp.Compare(mix(a.hash, 1), mix(b.hash, 1)) })
	marked := ordered[:int(math.Ceil(longPromptShare*float64(len(ordered))))]
	for _, p := range near {
		p.takesLongPrompts = false
	}
	for _, p := range marked {
		p.takesLongPrompts = true
	}
	return marked
}

func spansFailureDomains(replicas []*replica) bool {
	for _, p := range replicas {
		if p.upstream.Instance.FailureDomain != replicas[0].upstream.Instance.FailureDomain {
			return true
		}
	}
	return false
}

// replica returns the router's state of an upstream. An upstream that is added again
// under the same ID starts with an empty cache and a closed circuit.
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
	servesCalls := r.servesCalls(upstream)
	added := newReplica(upstream, r.serial, r.roundTrip(upstream.Instance.FailureDomain), servesCalls)
	added.speed = r.speed(upstream, servesCalls)
	added.pricePerSecond = r.price(upstream)
	added.reportGroup = r.reportGroup(upstream.Instance)
	r.replicas[id] = added
	r.bySerial[added.serial] = added
	r.byHash[added.shortID()] = added
	return added
}

// servesCalls reports whether a replica answers calls instead of prompts. The time of
// a call depends on the number of calls in progress.
func (r *Router) servesCalls(upstream *blackboard.Upstream) bool {
	if upstream.Engine != nil {
		return false
	}
	if upstream.Service != nil {
		return true
	}
	return r.config.ServesCalls != nil && r.config.ServesCalls(upstream.Instance.Service)
}

// forget removes the state of a replica that is no longer on the blackboard.
func (r *Router) forget(old *replica) {
	delete(r.replicas, old.id)
	delete(r.bySerial, old.serial)
	if r.byHash[old.shortID()] == old {
		delete(r.byHash, old.shortID())
	}
}

func (r *Router) roundTrip(domain string) time.Duration {
	if domain == r.config.FailureDomain {
		return 0
	}
	if known, ok := r.config.RoundTrips[domain]; ok {
		return known
	}
	return defaultRoundTrip
}
