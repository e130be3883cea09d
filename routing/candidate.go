package routing

import (
	"time"

	"zinniamast"
)

// candidate is a replica considered in a decision, with the predictions for it.
type candidate struct {
	replica *replica
	// wait is the time before the replica computes anything for the request.
	wait time.Duration
	// firstToken and completion are durations from now; betweenTokens is the mean time
	// between tokens.
	firstToken    time.Duration
	betweenTokens time.Duration
	completion    time.Duration
	// cachedTokens, fetchedTokens and uncachedTokens divide the tokens needed before
	// the first new one.
	cachedTokens   int
	uncachedTokens int
	// fetchSource is the replica from which fetchedTokens are transferred within
	// fetchTime; nil if none are.
	fetchSource   *replica
	fetchedTokens int
	fetchTime     time.Duration
	// workSeconds is the instance time that the attempt takes, and cost its price.
	workSeconds float64
	cost        float64
	// typicalWorkSeconds is the instance time at a replica of its class's typical speed.
	typicalWorkSeconds float64
	// running is the estimated number of sequences at the replica.
	running float64
	// isHome means that consistent hashing places a long prefix at the replica.
	isHome bool
	rank   rank
}

const (
	// smallFleetSize is the largest fleet of which every replica is considered.
	smallFleetSize = 12
	// sampleSize is the number of replicas sampled at random: two or more of them are
	// likely to be lightly loaded, and nodes that decide at once sample different ones.
	sampleSize = 4
	// resampleSize is how many more are sampled if no candidate meets the target.
	resampleSize = 8
	// longPromptSampleSize is how many of the replicas for long prompts are sampled for one.
	longPromptSampleSize = 3
	// maxCandidates bounds the cost of a decision regardless of the fleet's size.
	maxCandidates = 28
)

// gatherCandidates fills r.candidates for one decision.
func (r *Router) gatherCandidates(f *fleet, request *zinniamast.RouteRequest, now time.Time) {
	r.candidates = r.candidates[:0]
	r.lookup.reset(r.history, request.Prefix)
	r.pickCandidates(f, request, now)
	r.planFetches(request, now)
}

// pickCandidates considers replicas that probably have the prefix cached, the
// prefix's homes, and a random sample.
func (r *Router) pickCandidates(f *fleet, request *zinniamast.RouteRequest, now time.Time) {
	if len(f.replicas) <= smallFleetSize {
		for _, p := range f.replicas {
			r.consider(p, request, now)
		}
		r.markHomes(f, request, now)
		return
	}
	if request.Alone {
		r.considerIdle(f, request, now)
		return
	}
	r.considerHolders(request, now)
	r.markHomes(f, request, now)
	r.sample(f.replicas[:f.nearCount], sampleSize, request, now)
	r.sample(f.replicas[f.nearCount:], 1, request, now)
	if isLongPrompt(request) {
		r.sample(f.longPromptReplicas, longPromptSampleSize, request, now)
	}
	if !r.anyMeetsTarget() {
		r.sample(f.replicas, resampleSize, request, now)
	}
	if len(r.candidates) == 0 {
		r.considerAny(f, request, now)
	}
}

func (r *Router) anyMeetsTarget() bool {
	for i := range r.candidates {
		if r.candidates[i].rank == rankOnTarget {
			return true
		}
	}
	return false
}

// considerIdle searches the whole fleet for the replicas with the fewest
// sequences: suspect requests are rare, and a replica that they crash must not be
// running others.
func (r *Router) considerIdle(f *fleet, request *zinniamast.RouteRequest, now time.Time) {
	start := r.random.IntN(len(f.replicas))
	least := -1.0
	for i := range f.replicas {
		p := f.replicas[(start+i)%len(f.replicas)]
		running := p.load(request.Priority, now).running
		if !p.usable(request) || least >= 0 && running >= least {
			continue
		}
		least = running
		if len(r.candidates) == maxCandidates {
			r.candidates = r.candidates[:maxCandidates-1]
		}
		r.consider(p, request, now)
		if least == 0 {
			return
		}
	}
}

// considerAny considers the first usable replicas of a fleet of which most are leaving.
func (r *Router) considerAny(f *fleet, request *zinniamast.RouteRequest, now time.Time) {
	for _, p := range f.replicas {
		r.consider(p, request, now)
		if len(r.candidates) == smallFleetSize {
			return
		}
	}
}

// considerHolders considers the replicas that were sent the longest recorded
// prefix, and those that were sent half of it.
func (r *Router) considerHolders(request *zinniamast.RouteRequest, now time.Time) {
	longest := r.lookup.longest()
	if longest < 0 {
		return
	}
	r.considerEntryHolders(r.lookup.entry(longest), request, now)
	if half := longest / 2; half < longest {
		r.considerEntryHolders(r.lookup.entry(half), request, now)
	}
}

func (r *Router) considerEntryHolders(e *entry, request *zinniamast.RouteRequest, now time.Time) {
	if e == nil {
		return
	}
	for _, h := range e.holders {
		if p, ok := r.bySerial[h.serial]; ok {
			r.consider(p, request, now)
		}
	}
}

// anchors are the indexes of a prompt's prefixes that have homes, longest first:
// some 8,000, 2,000 and 512 tokens. Shorter prefixes have none, since a beginning
// that all prompts share would route them all to one replica.
var anchors = [...]int{13, 7, 1}

// isLongPrompt reports whether a prompt is long enough to flush a cache.
func isLongPrompt(request *zinniamast.RouteRequest) bool { return len(request.Prefix) > anchors[0] }

// homes returns the homes of the prompt's two longest anchors; nil for a missing one.
func (r *Router) homes(f *fleet, request *zinniamast.RouteRequest) (found [2]*replica) {
	usable := func(p *replica) bool { return p.usable(request) }
	next := 0
	for _, anchor := range anchors {
		if anchor >= len(r.lookup.hashes) || next == len(found) {
			continue
		}
		found[next] = f.ring.home(r.lookup.hashes[anchor], usable)
		next++
	}
	return found
}

// markHomes considers the homes of the prompt and marks their candidates.
func (r *Router) markHomes(f *fleet, request *zinniamast.RouteRequest, now time.Time) {
	homes := r.homes(f, request)
	r.longestAnchorHome = homes[0]
	for _, home := range homes {
		if home == nil {
			continue
		}
		if c := r.consider(home, request, now); c != nil && !c.isHome {
			c.isHome = true
			r.expectHomeHits(c, request, now)
		}
	}
}

// unrestrictedRequest excludes no replica.
var unrestrictedRequest = &zinniamast.RouteRequest{}

// isHome reports whether a replica is a home of the prompt in r.lookup.
func (r *Router) isHome(p *replica) bool {
	f, ok := r.fleets[p.upstream.Instance.Service]
	if !ok {
		return false
	}
	found := r.homes(f, unrestrictedRequest)
	return found[0] == p || found[1] == p
}

// sample considers replicas chosen at random.
func (r *Router) sample(from []*replica, count int, request *zinniamast.RouteRequest, now time.Time) {
	if len(from) == 0 {
		return
	}
	for range count {
		r.consider(from[r.random.IntN(len(from))], request, now)
	}
}

// consider returns the candidate of a replica with its predictions; nil if the replica
// is not usable or there are too many candidates.
func (r *Router) consider(p *replica, request *zinniamast.RouteRequest, now time.Time) *candidate {
	for i := range r.candidates {
		if r.candidates[i].replica == p {
			return &r.candidates[i]
		}
	}
	if len(r.candidates) == maxCandidates || !p.usable(request) {
		return nil
	}
	r.candidates = append(r.candidates, candidate{
		replica: p,
	})
	c := &r.candidates[len(r.candidates)-1]
	known := r.matchHistory(p)
	c.cachedTokens = p.cache.cachedTokens(known, request.PromptTokens)
	r.predict(c, request, now)
	return c
}
