package routing

import (
	"time"

	"zinniamast"
)

// rank orders candidates by what they can still do; lower is better.
type rank int

const (
	// rankMeets: the latency target and the deadline are met.
	rankMeets rank = iota
	// rankOnTime: the deadline is met, the latency target is not.
	rankOnTime
	// rankLate: the answer would come after the deadline.
	rankLate
	// rankUnfit: the replica leaves before the answer would end, or has not
	// loaded the model.
	rankUnfit
	// rankSilent: it tells no load, while others of its failure domain do.
	rankSilent
	// rankShunned: the circuit is open.
	rankShunned
)

// predict fills in what the replica would do with the need.
func (r *Router) predict(c *candidate, need *zinniamast.Need, now time.Time) {
	p := c.replica
	l := p.load(need.Priority, now)
	c.running = l.running
	c.uncached = max(0, need.PromptTokens+need.Produced-c.cached-c.fetched)
	work := l.ahead + float64(c.uncached)
	if p.plain {
		work = l.running
	}
	slow := p.firstFactor.value()
	first := p.speed.first.at(work) * slow
	between := p.speed.between.at(l.running+1) * p.betweenFactor.value()
	remaining := float64(max(1, r.expectedAnswer(need)-need.Produced))
	if p.plain {
		between, remaining = 0, 0
		l.ahead = max(0, l.running-1)
	}
	slot := p.slotWait(l, remaining*between)
	first += slot + c.fetching.Seconds()
	c.wait = seconds(slot + p.speed.first.slope*slow*l.ahead)
	c.first = seconds(first) + p.distance
	c.between = seconds(between)
	c.completion = c.first + seconds(remaining*between)
	c.work = p.speed.first.slope*slow*float64(c.uncached) +
		remaining*p.speed.between.slope*p.betweenFactor.value()
	c.usual = p.usualWork(c.uncached)
	if p.plain {
		c.work = first
		c.usual = p.speed.first.at(0)
	}
	c.cost = p.price * c.work
	c.rank = r.rank(c, need, now)
}

// usualWork is the machine time that a prompt takes at a replica of the usual
// speed, in seconds; zero while the machine class is not known: the prior may be
// wrong by a factor of ten, and replicas are ordered by this.
func (p *replica) usualWork(uncached int) float64 {
	if p.speed.first.points < sizedPoints {
		return 0
	}
	return p.speed.first.slope * float64(uncached)
}

// sizedPoints is how many answers a machine class must have given before the
// work of requests there is told.
const sizedPoints = 10

// slotWait is how long a request waits for a place in a full batch.
func (p *replica) slotWait(l load, answer float64) float64 {
	over := l.running + 1 - p.limit.most
	if over <= 0 {
		return 0
	}
	return over * answer / p.limit.most
}

func (r *Router) rank(c *candidate, need *zinniamast.Need, now time.Time) rank {
	p := c.replica
	end := now.Add(c.completion)
	switch {
	case p.circuit.open(now):
		return rankShunned
	case r.silent(p):
		return rankSilent
	case p.report.missing && p.report.weight(now) > 0:
		return rankUnfit
	case p.leavesBefore(end):
		return rankUnfit
	case !need.Deadline.IsZero() && end.After(need.Deadline):
		return rankLate
	case exceeds(c.first, need.FirstTokenTarget) || exceeds(c.between, need.BetweenTokensTarget):
		return rankOnTime
	case c.running+1 > p.limit.most:
		return rankOnTime
	default:
		return rankMeets
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

// surpriseCount is how many homes without history must have been seen before
// their hits are counted on.
const surpriseCount = 5

// expectSurprise counts on what other nodes have probably sent to a home.
func (r *Router) expectSurprise(c *candidate, need *zinniamast.Need, now time.Time) {
	if r.config.HomeHolds > 0 {
		r.expectHeld(c, need, now)
		return
	}
	hits, ok := r.surprise[answerKey{
		service:  need.Service,
		priority: need.Priority,
	}]
	if !ok || hits.count < surpriseCount {
		return
	}
	c.cached += int(hits.value * float64(need.PromptTokens-c.cached))
	r.predict(c, need, now)
}

// expectHeld counts on what other nodes have probably sent to a home: the whole
// prefix at the home of its longest anchor.
func (r *Router) expectHeld(c *candidate, need *zinniamast.Need, now time.Time) {
	if len(r.lookup.hashes) == 0 || c.replica != r.deepestHome {
		return
	}
	held := int(r.config.HomeHolds * float64(r.config.BlockTokens(len(r.lookup.hashes)-1)))
	if held > c.cached {
		c.cached = min(held, need.PromptTokens)
		r.predict(c, need, now)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
