package experiment

import (
	"cmp"
	"slices"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
)

// baseline holds the state that the reference policies share: the replicas, and
// the number of this node's in-flight requests at each.
type baseline struct {
	board      *blackboard.Board
	inFlight   map[string]int
	upstreamOf map[string]string
}

func newBaseline(board *blackboard.Board) baseline {
	return baseline{
		board:      board,
		inFlight:   map[string]int{},
		upstreamOf: map[string]string{},
	}
}

// usable lists the replicas that accept requests, in order of ID.
func (b *baseline) usable(route *zinniamast.RouteRequest) []string {
	var ids []string
	for _, upstream := range b.board.Upstreams.Of(route.Service) {
		if !upstream.Leaving() && !slices.Contains(route.Avoid, upstream.Instance.ID) {
			ids = append(ids, upstream.Instance.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Observe implements zinniamast.Router.
func (b *baseline) Observe(o zinniamast.Observation) {
	switch o.Kind {
	case zinniamast.ObservedStart:
		b.inFlight[o.Upstream]++
		b.upstreamOf[o.Attempt] = o.Upstream
	case zinniamast.ObservedEnd:
		b.inFlight[b.upstreamOf[o.Attempt]]--
		delete(b.upstreamOf, o.Attempt)
	}
}

// Explain implements zinniamast.Router.
func (b *baseline) Explain(string) string { return "" }

// leastLoaded returns the replica with the fewest in-flight requests of this
// node. The search starts at index from, which callers advance so that ties
// rotate among the replicas.
func (b *baseline) leastLoaded(ids []string, from int) string {
	best := ids[from%len(ids)]
	for i := range ids {
		id := ids[(from+i)%len(ids)]
		if b.inFlight[id] < b.inFlight[best] {
			best = id
		}
	}
	return best
}

func noUpstream() error { return zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica") }

// roundRobin selects the replicas in turn.
type roundRobin struct {
	baseline
	next int
}

// Route implements zinniamast.Router.
func (r *roundRobin) Route(route *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	ids := r.usable(route)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	r.next++
	return zinniamast.Choice{
		Upstream: ids[r.next%len(ids)],
	}, nil
}

// leastOutstanding selects the replica with the fewest in-flight requests of
// this node. With a limit above zero, requests queue at the node in order of
// arrival while every replica has reached the limit.
type leastOutstanding struct {
	baseline
	next  int
	limit int
}

// Route implements zinniamast.Router.
func (l *leastOutstanding) Route(route *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	ids := l.usable(route)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	l.next++
	best := l.leastLoaded(ids, l.next)
	if l.limit > 0 && l.inFlight[best] >= l.limit {
		return zinniamast.Choice{}, noUpstream()
	}
	return zinniamast.Choice{
		Upstream: best,
	}, nil
}

// prefixAffinity sends each long prefix to one replica by consistent hashing,
// unless that replica has far more than its share of the load. Requests without
// a prefix go to the least loaded replica.
type prefixAffinity struct {
	leastOutstanding
	// loadFactor bounds the load of a replica as a multiple of the mean; beyond it,
	// its prefixes overflow to the next replica. Zero means no bound.
	loadFactor float64
}

// affinityBlockIndex is the index of the prefix hash that selects the replica.
// It covers about 2,000 tokens; a shorter prompt uses its longest prefix.
const affinityBlockIndex = 7

// Route implements zinniamast.Router.
func (a *prefixAffinity) Route(route *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	if len(route.Prefix) == 0 {
		return a.leastOutstanding.Route(route)
	}
	ids := a.usable(route)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	key := route.Prefix[min(affinityBlockIndex, len(route.Prefix)-1)]
	slices.SortFunc(ids, func(x, y string) int { return cmp.Compare(rendezvousWeight(key, y), rendezvousWeight(key, x)) })
	total := 0
	for _, id := range ids {
		total += a.inFlight[id]
	}
	maxInFlight := a.loadFactor * float64(total+1) / float64(len(ids))
	for _, id := range ids {
		if a.loadFactor == 0 || float64(a.inFlight[id]+1) <= max(maxInFlight, 1) {
			return zinniamast.Choice{
				Upstream: id,
			}, nil
		}
	}
	return zinniamast.Choice{
		Upstream: ids[0],
	}, nil
}

// rendezvousWeight returns the weight of a replica for a prefix in rendezvous
// (highest random weight) hashing.
func rendezvousWeight(key uint64, id string) uint64 {
	return prefix.Hash([]byte(id)) ^ key*0x9e3779b97f4a7c15
}
