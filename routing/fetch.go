package routing

import (
	"time"

	"zinniamast"
)

const (
	// fetchSetupTime is what a transfer takes before its first byte; some three
	// milliseconds, and as much for one that is before it.
	fetchSetupTime = 6 * time.Millisecond
	// minFetchTokens is the fewest tokens that are worth a transfer: 1,000 are read in
	// some ten milliseconds.
	minFetchTokens = 1000
	// maxFetchTimePerToken is the longest time of a token that is worth a transfer: half
	// of what reading one takes, some ten microseconds. Over slow links a prefix
	// comes later than it is read; the deployments measured take 0.5.
	maxFetchTimePerToken = 5 * time.Microsecond
)

// planFetches lets each candidate fetch what another one holds of the prompt
// beyond its own, where replicas can, from the one that holds the most.
//
// Load: sessions share their prompts' first thousands of tokens. A replica that
// takes a request of a busy home read them again, a tenth of all that was read.
func (r *Router) planFetches(need *zinniamast.Need, now time.Time) {
	perToken, ok := r.fetchTimePerToken(need)
	if !ok {
		return
	}
	source := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank < rankSilent && (source < 0 || c.cachedTokens > r.candidates[source].cachedTokens) {
			source = i
		}
	}
	if source < 0 {
		return
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		more := r.candidates[source].cachedTokens - c.cachedTokens
		if more < minFetchTokens {
			continue
		}
		c.fetchSource = r.candidates[source].replica
		c.fetchedTokens = more
		c.fetchTime = fetchSetupTime + time.Duration(more)*perToken
		r.predict(c, need, now)
	}
}

// fetchSource returns where the chosen candidate fetches from; nil from nowhere.
// What it is believed to hold itself it may have lost, or never had: where it
// keeps all that the source keeps, nothing is transferred.
func (r *Router) fetchSource(chosen *candidate, need *zinniamast.Need) *replica {
	if chosen.fetchSource != nil {
		return chosen.fetchSource
	}
	if _, ok := r.fetchTimePerToken(need); !ok {
		return nil
	}
	var best *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if c == chosen || c.rank >= rankSilent || c.cachedTokens == 0 && !c.isHome {
			continue
		}
		if best == nil || c.cachedTokens > best.cachedTokens {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.replica
}

// fetchTimePerToken returns how long a token of the prompt's prefix takes to fetch;
// false where the prefix is not worth a transfer.
func (r *Router) fetchTimePerToken(need *zinniamast.Need) (time.Duration, bool) {
	blocks := len(r.lookup.hashes)
	if blocks == 0 || r.config.FetchTime == nil || r.config.BlockTokens(blocks-1) < minFetchTokens {
		return 0, false
	}
	perToken := r.config.FetchTime(need.Service)
	return perToken, perToken > 0 && perToken <= maxFetchTimePerToken
}
