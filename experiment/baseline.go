package experiment

import (
	"cmp"
	"slices"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
)

// baseline is what the plain policies share: the replicas, and this node's
// own requests at each.
type baseline struct {
	board *blackboard.Board
	own   map[string]int
	at    map[string]string
}

func newBaseline(board *blackboard.Board) baseline {
	return baseline{
		board: board,
		own:   map[string]int{},
		at:    map[string]string{},
	}
}

// usable lists the replicas that take work, in a fixed order.
func (b *baseline) usable(need *zinniamast.RouteRequest) []string {
	var ids []string
	for _, upstream := range b.board.Upstreams.Of(need.Service) {
		if !upstream.Leaving() && !slices.Contains(need.Avoid, upstream.Instance.ID) {
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
		b.own[o.Upstream]++
		b.at[o.Attempt] = o.Upstream
	case zinniamast.ObservedEnd:
		b.own[b.at[o.Attempt]]--
		delete(b.at, o.Attempt)
	}
}

// Explain implements zinniamast.Router.
func (b *baseline) Explain(string) string { return "" }

// least returns the one with the fewest requests of this node; the search
// begins at a moving place, so that equals take turns.
func (b *baseline) least(ids []string, from int) string {
	best := ids[from%len(ids)]
	for i := range ids {
		id := ids[(from+i)%len(ids)]
		if b.own[id] < b.own[best] {
			best = id
		}
	}
	return best
}

func noUpstream() error { return zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica") }

// roundRobin takes the replicas in turn.
type roundRobin struct {
	baseline
	next int
}

// Route implements zinniamast.Router.
func (r *roundRobin) Route(need *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	ids := r.usable(need)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	r.next++
	return zinniamast.Choice{
		Upstream: ids[r.next%len(ids)],
	}, nil
}

// leastOutstanding takes the replica with the fewest requests of this node. A
// limit above zero makes requests queue at the node in order of arrival while
// every replica has as many.
type leastOutstanding struct {
	baseline
	next  int
	limit int
}

// Route implements zinniamast.Router.
func (l *leastOutstanding) Route(need *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	ids := l.usable(need)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	l.next++
	best := l.least(ids, l.next)
	if l.limit > 0 && l.own[best] >= l.limit {
		return zinniamast.Choice{}, noUpstream()
	}
	return zinniamast.Choice{
		Upstream: best,
	}, nil
}

// prefixAffinity sends each long prefix to one replica by consistent hashing,
// unless that one has far more than its part, and the rest to the least loaded.
type prefixAffinity struct {
	leastOutstanding
	// bound is how many times the mean a replica may have before its prefixes overflow.
	bound float64
}

// affinityBlock is the index of the prefix that decides: some 2,000 tokens, or
// the whole of a shorter prompt's.
const affinityBlock = 7

// Route implements zinniamast.Router.
func (a *prefixAffinity) Route(need *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	if len(need.Prefix) == 0 {
		return a.leastOutstanding.Route(need)
	}
	ids := a.usable(need)
	if len(ids) == 0 {
		return zinniamast.Choice{}, noUpstream()
	}
	key := need.Prefix[min(affinityBlock, len(need.Prefix)-1)]
	slices.SortFunc(ids, func(x, y string) int { return cmp.Compare(weight(key, y), weight(key, x)) })
	total := 0
	for _, id := range ids {
		total += a.own[id]
	}
	most := a.bound * float64(total+1) / float64(len(ids))
	for _, id := range ids {
		if a.bound == 0 || float64(a.own[id]+1) <= max(most, 1) {
			return zinniamast.Choice{
				Upstream: id,
			}, nil
		}
	}
	return zinniamast.Choice{
		Upstream: ids[0],
	}, nil
}

// weight orders replicas for a prefix by highest random weight.
func weight(key uint64, id string) uint64 { return prefix.Hash([]byte(id)) ^ key*0x9e3779b97f4a7c15 }
