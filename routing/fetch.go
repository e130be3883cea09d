package routing

import (
	"time"

	"zinniamast"
)

const (
	// fetchSetupTime is the time before the first byte of a transfer: some three
	// milliseconds, and as much again for another transfer queued before it.
	fetchSetupTime = 6 * time.Millisecond
	// minFetchTokens is the fewest tokens worth a transfer: the prefill of 1,000 tokens
	// takes some ten milliseconds.
	minFetchTokens = 1000
	// maxFetchTimePerToken is the longest transfer time per token worth a transfer: half
	// the prefill time per token, which is some ten microseconds. Over slow links a
	// prefix would arrive later than it is recomputed; usual links take 0.5 µs.
	maxFetchTimePerToken = 5 * time.Microsecond
)

// planFetches predicts, if replicas can fetch prefixes, that each candidate fetches
// the missing part of the prompt's prefix from the candidate that has most of it cached.
//
// The requests of a session share the first thousands of tokens of their prompts.
// Without fetching, a replica that receives a request because the home is busy
// recomputes them, which came to a tenth of all prefill tokens.
func (r *Router) planFetches(request *zinniamast.RouteRequest, now time.Time) {
	perToken, ok := r.fetchTimePerToken(request)
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
		missing := r.candidates[source].cachedTokens - c.cachedTokens
		if missing < minFetchTokens || !c.replica.sharesCache(r.candidates[source].replica) {
			continue
		}
		c.fetchSource = r.candidates[source].replica
		c.fetchedTokens = missing
		c.fetchTime = fetchSetupTime + time.Duration(missing)*perToken
		r.predict(c, request, now)
	}
}

// fetchSource returns the replica that the chosen candidate fetches from, or nil. A
// source is named even if the candidate is assumed to have the prefix cached, since
// it may have been evicted or never been there; if the candidate has all that the
// source has, nothing is transferred.
func (r *Router) fetchSource(chosen *candidate, request *zinniamast.RouteRequest) *replica {
	if chosen.fetchSource != nil {
		return chosen.fetchSource
	}
	if _, ok := r.fetchTimePerToken(request); !ok {
		return nil
	}
	var best *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if c == chosen || c.rank >= rankSilent || c.cachedTokens == 0 && !c.isHome || !c.replica.sharesCache(chosen.replica) {
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

// fetchTimePerToken returns the transfer time per token of the prompt's prefix; false
// if the prefix is not worth a transfer.
func (r *Router) fetchTimePerToken(request *zinniamast.RouteRequest) (time.Duration, bool) {
	blocks := len(r.lookup.hashes)
	if blocks == 0 || r.config.FetchTimePerToken == nil || r.config.BlockTokens(blocks-1) < minFetchTokens {
		return 0, false
	}
	perToken := r.config.FetchTimePerToken(request.Service)
	return perToken, perToken > 0 && perToken <= maxFetchTimePerToken
}
