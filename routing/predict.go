package routing

import (
	"time"

	"zinniamast"
)

// rank orders candidates by what they can still do; lower is better.
type rank int

const (
	// rankOnTarget: the latency target and the deadline are met.
	rankOnTarget rank = iota
	// rankWithinDeadline: the deadline is met, the latency target is not.
	rankWithinDeadline
	// rankLate: the answer would come after the deadline.
	rankLate
	// rankUnfit: the replica leaves before the answer would end, or has not
	// loaded the model.
	rankUnfit
	// rankSilent: it tells no load, while others of its failure domain do.
	rankSilent
	// rankCircuitOpen: the circuit is open.
	rankCircuitOpen
)

// predict fills in what the replica would do with the need.
func (r *Router) predict(c *candidate, need *zinniamast.Need, now time.Time) {
	p := c.replica
	l := p.load(need.Priority, now)
	c.running = l.running
	c.uncachedTokens = max(0, need.PromptTokens+need.Produced-c.cachedTokens-c.fetchedTokens)
	work := l.tokensAhead + float64(c.uncachedTokens)
	if p.servesCalls {
		work = l.running
	}
	slow := p.firstFactor.value()
	first := p.speed.first.at(work) * slow
	between := p.speed.between.at(l.running+1) * p.betweenFactor.value()
	remaining := float64(max(1, r.expectedAnswerTokens(need)-need.Produced))
	if p.servesCalls {
		between, remaining = 0, 0
		l.tokensAhead = max(0, l.running-1)
	}
	slot := p.slotWait(l, remaining*between)
	first += slot + c.fetchTime.Seconds()
	c.wait = seconds(slot + p.speed.first.slope*slow*l.tokensAhead)
	c.firstToken = seconds(first) + p.distance
	c.betweenTokens = seconds(between)
	c.completion = c.firstToken + seconds(remaining*between)
	c.work = p.speed.first.slope*slow*float64(c.uncachedTokens) +
		remaining*p.speed.between.slope*p.betweenFactor.value()
	c.typicalWork = p.typicalWork(c.uncachedTokens)
	if p.servesCalls {
		c.work = first
		c.typicalWork = p.speed.first.at(0)
	}
	c.cost = p.pricePerSecond * c.work
	c.rank = r.rank(c, need, now)
}

// typicalWork is the machine time that a prompt takes at a replica of the usual
// speed, in seconds; zero while the machine class is not known: the prior may be
// wrong by a factor of ten, and replicas are ordered by this.
func (p *replica) typicalWork(uncached int) float64 {
	if p.speed.first.points < minTypicalWorkPoints {
		return 0
	}
	return p.speed.first.slope * float64(uncached)
}

// minTypicalWorkPoints is how many answers a machine class must have given before the
// work of requests there is told.
const minTypicalWorkPoints = 10

// slotWait is how long a request waits for a place in a full batch.
func (p *replica) slotWait(l load, answer float64) float64 {
	over := l.running + 1 - p.limit.current
	if over <= 0 {
		return 0
	}
	return over * answer / p.limit.current
}

func (r *Router) rank(c *candidate, need *zinniamast.Need, now time.Time) rank {
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
	case !need.Deadline.IsZero() && end.After(need.Deadline):
		return rankLate
	case exceeds(c.firstToken, need.FirstTokenTarget) || exceeds(c.betweenTokens, need.BetweenTokensTarget):
		return rankWithinDeadline
	case c.running+1 > p.limit.current:
		return rankWithinDeadline
	default:
		return rankOnTarget
	}
}

// leavesBefore says whether a stop is announced that comes before the given time.
func (p *replica) leavesBefore(end time.Time) bool {
	at := p.upstream.LeavesAt()
	if at.IsZero() {
		at = p.upstream.Instance.LeavesAt
	}
	return !at.IsZero() && at.Before(end)
}

// exceeds says whether a prediction misses a target; no target is always met.
func exceeds(predicted, target time.Duration) bool { return target > 0 && predicted > target }

// minHomeHitsSamples is how many homes without history must have been seen before
// their hits are counted on.
const minHomeHitsSamples = 5

// expectHomeHits counts on what other nodes have probably sent to a home.
func (r *Router) expectHomeHits(c *candidate, need *zinniamast.Need, now time.Time) {
	if r.config.HomeHolds > 0 {
		r.expectHomePrefix(c, need, now)
		return
	}
	hits, ok := r.homeHits[answerKey{
		service:  need.Service,
		priority: need.Priority,
	}]
	if !ok || hits.count < minHomeHitsSamples {
		return
	}
	c.cachedTokens += int(hits.value * float64(need.PromptTokens-c.cachedTokens))
	r.predict(c, need, now)
}

// expectHomePrefix counts on what other nodes have probably sent to a home: the whole
// prefix at the home of its longest anchor.
func (r *Router) expectHomePrefix(c *candidate, need *zinniamast.Need, now time.Time) {
	if len(r.lookup.hashes) == 0 || c.replica != r.longestAnchorHome {
		return
	}
	held := int(r.config.HomeHolds * float64(r.config.BlockTokens(len(r.lookup.hashes)-1)))
	if held > c.cachedTokens {
		c.cachedTokens = min(held, need.PromptTokens)
		r.predict(c, need, now)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
