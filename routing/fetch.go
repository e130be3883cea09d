package routing

import (
	"time"

	"zinniamast"
)

const (
	// fetchSetup is what a transfer takes before its first byte; some three
	// milliseconds, and as much for one that is before it.
	fetchSetup = 6 * time.Millisecond
	// minFetched is the fewest tokens that are worth a transfer: 1,000 are read in
	// some ten milliseconds.
	minFetched = 1000
	// slowestFetch is the longest time of a token that is worth a transfer: half
	// of what reading one takes, some ten microseconds. Over slow links a prefix
	// comes later than it is read; the deployments measured take 0.5.
	slowestFetch = 5 * time.Microsecond
)

// expectFetches lets each candidate fetch what another one holds of the prompt
// beyond its own, where replicas can, from the one that holds the most.
//
// Load: sessions share their prompts' first thousands of tokens. A replica that
// takes a request of a busy home read them again, a tenth of all that was read.
func (r *Router) expectFetches(need *zinniamast.Need, now time.Time) {
	perToken, ok := r.fetchTime(need)
	if !ok {
		return
	}
	source := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank < rankSilent && (source < 0 || c.cached > r.candidates[source].cached) {
			source = i
		}
	}
	if source < 0 {
		return
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		more := r.candidates[source].cached - c.cached
		if more < minFetched {
			continue
		}
		c.source = r.candidates[source].replica
		c.fetched = more
		c.fetching = fetchSetup + time.Duration(more)*perToken
		r.predict(c, need, now)
	}
}

// fetchSource returns where the chosen candidate fetches from; nil from nowhere.
// What it is believed to hold itself it may have lost, or never had: where it
// keeps all that the source keeps, nothing is transferred.
func (r *Router) fetchSource(chosen *candidate, need *zinniamast.Need) *replica {
	if chosen.source != nil {
		return chosen.source
	}
	if _, ok := r.fetchTime(need); !ok {
		return nil
	}
	var best *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if c == chosen || c.rank >= rankSilent || c.cached == 0 && !c.home {
			continue
		}
		if best == nil || c.cached > best.cached {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.replica
}

// fetchTime returns how long a token of the prompt's prefix takes to fetch;
// false where the prefix is not worth a transfer.
func (r *Router) fetchTime(need *zinniamast.Need) (time.Duration, bool) {
	blocks := len(r.lookup.hashes)
	if blocks == 0 || r.config.FetchTime == nil || r.config.BlockTokens(blocks-1) < minFetched {
		return 0, false
	}
	perToken := r.config.FetchTime(need.Service)
	return perToken, perToken > 0 && perToken <= slowestFetch
}
