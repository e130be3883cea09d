package routing

import (
	"time"

	"zinniamast"
)

// rank classifies candidates by the targets that they meet; lower is better.
type rank int

const (
	// rankOnTarget means that the latency target and the deadline are met.
	rankOnTarget rank = iota
	// rankWithinDeadline means that the deadline is met, but not the latency target.
	rankWithinDeadline
	// rankLate means that the answer would complete after the deadline.
	rankLate
	// rankUnfit means that the replica leaves before the answer would complete, or has
	// not loaded the model.
	rankUnfit
	// rankSilent means that the replica's load report is outdated, while those of other
	// replicas in its failure domain are not.
	rankSilent
	// rankCircuitOpen means that the replica's circuit is open.
	rankCircuitOpen
)

// predict fills in the candidate's predictions for the request.
func (r *Router) predict(c *candidate, request *zinniamast.RouteRequest, now time.Time) {
	p := c.replica
	l := p.load(request.Priority, now)
	c.running = l.running
	c.uncachedTokens = max(0, request.PromptTokens+request.Produced-c.cachedTokens-c.fetchedTokens)
	work := l.tokensAhead + float64(c.uncachedTokens)
	if p.servesCalls {
		work = l.running
	}
	slowness := p.firstFactor.value()
	first := p.speed.first.at(work) * slowness
	between := p.speed.between.at(l.running+1) * p.betweenFactor.value()
	remaining := float64(max(1, r.expectedAnswerTokens(request)-request.Produced))
	if p.servesCalls {
		between, remaining = 0, 0
		l.tokensAhead = max(0, l.running-1)
	}
	slot := p.slotWait(l, remaining*between)
	first += slot + c.fetchTime.Seconds()
	c.wait = seconds(slot + p.speed.first.slope*slowness*l.tokensAhead)
	c.firstToken = seconds(first) + p.roundTrip
	c.betweenTokens = seconds(between)
	c.completion = c.firstToken + seconds(remaining*between)
	c.workSeconds = p.speed.first.slope*slowness*float64(c.uncachedTokens) +
		remaining*p.speed.between.slope*p.betweenFactor.value()
	c.typicalWorkSeconds = p.typicalWorkSeconds(c.uncachedTokens)
	if p.servesCalls {
		c.workSeconds = first
		c.typicalWorkSeconds = p.speed.first.at(0)
	}
	c.cost = p.pricePerSecond * c.workSeconds
	c.rank = r.rank(c, request, now)
}

// typicalWorkSeconds returns the instance time that a prompt takes at a replica of its
// class's typical speed. It is zero until enough answers of the machine class have been
// observed: the prior may be wrong by a factor of ten, and the number of replicas to
// start depends on this value.
func (p *replica) typicalWorkSeconds(uncached int) float64 {
	if p.speed.first.points < minTypicalWorkPoints {
		return 0
	}
	return p.speed.first.slope * float64(uncached)
}

// minTypicalWorkPoints is the number of answers observed from a machine class before
// typicalWorkSeconds returns an estimate.
const minTypicalWorkPoints = 10

// slotWait returns how long a request waits for a place in a full batch, in seconds;
// answerSeconds is the time from an answer's first token to its last.
func (p *replica) slotWait(l load, answerSeconds float64) float64 {
	excess := l.running + 1 - p.limit.current
	if excess <= 0 {
		return 0
	}
	return excess * answerSeconds / p.limit.current
}

func (r *Router) rank(c *candidate, request *zinniamast.RouteRequest, now time.Time) rank {
	p := c.replica
	end := now.Add(c.completion)
	switch {
	case p.circuit.isOpen(now):
		return rankCircuitOpen
	case r.isSilent(p):
		return rankSilent
	case p.report.modelMissing && p.report.weight(now) > 0:
		return rankUnfit
	case p.leavesBefore(end):
		return rankUnfit
	case !request.Deadline.IsZero() && end.After(request.Deadline):
		return rankLate
	case exceeds(c.firstToken, request.FirstTokenTarget) || exceeds(c.betweenTokens, request.BetweenTokensTarget):
		return rankWithinDeadline
	case c.running+1 > p.limit.current:
		return rankWithinDeadline
	default:
		return rankOnTarget
	}
}

// leavesBefore reports whether the replica is announced to stop before the given time.
func (p *replica) leavesBefore(end time.Time) bool {
	at := p.upstream.LeavesAt()
	if at.IsZero() {
		at = p.upstream.Instance.LeavesAt
	}
	return !at.IsZero() && at.Before(end)
}

// exceeds reports whether a prediction misses a target; a zero target is always met.
func exceeds(predicted, target time.Duration) bool { return target > 0 && predicted > target }

// minHomeHitsSamples is the number of answers from homes before homeHits is used in
// predictions.
const minHomeHitsSamples = 5

// expectHomeHits adds the tokens that are probably cached at a home because other nodes
// sent them there.
func (r *Router) expectHomeHits(c *candidate, request *zinniamast.RouteRequest, now time.Time) {
	if r.config.HomeCachedShare > 0 {
		r.expectHomePrefix(c, request, now)
		return
	}
	hits, ok := r.homeHits[answerKey{
		service:  request.Service,
		priority: request.Priority,
	}]
	if !ok || hits.count < minHomeHitsSamples {
		return
	}
	c.cachedTokens += int(hits.value * float64(request.PromptTokens-c.cachedTokens))
	r.predict(c, request, now)
}

// expectHomePrefix assumes that other nodes have sent the prefix to the home of its
// longest anchor, and that the fraction HomeCachedShare of it is cached there.
func (r *Router) expectHomePrefix(c *candidate, request *zinniamast.RouteRequest, now time.Time) {
	if len(r.lookup.hashes) == 0 || c.replica != r.longestAnchorHome {
		return
	}
	homeTokens := int(r.config.HomeCachedShare * float64(r.config.BlockTokens(len(r.lookup.hashes)-1)))
	if homeTokens > c.cachedTokens {
		c.cachedTokens = min(homeTokens, request.PromptTokens)
		r.predict(c, request, now)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
