package routing

import (
	"time"

	"zinniamast"
)

// attempt is one attempt in progress.
type attempt struct {
	replica      *replica
	startedAt    time.Time
	firstTokenAt time.Time
	// service and priority determine the expected length of the answer.
	service      string
	priority     int
	promptTokens int
	// queuedTokens are counted in the replica's queue until the first token.
	queuedTokens int
	// tokensAhead are the prompt tokens to compute before this attempt's own.
	tokensAhead float64
	// running is the number of sequences at the start, this attempt's included.
	running float64
	match   match
	// betweenTargetSeconds is the request's target for the time between tokens; zero means
	// the service's target.
	betweenTargetSeconds float64
	// cachedTokens are the tokens predicted to be cached, and isHome means that the
	// replica is a home of the prompt.
	cachedTokens int
	isHome       bool
}

// Observe implements zinniamast.Router.
func (r *Router) Observe(o zinniamast.Observation) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.Kind {
	case zinniamast.ObservedStart:
		r.recordStart(&o, now)
	case zinniamast.ObservedFirstToken:
		r.recordFirstToken(&o, now)
	case zinniamast.ObservedEnd:
		r.recordEnd(&o, now)
	case zinniamast.ObservedSilent:
		if a, ok := r.attempts[o.Attempt]; ok {
			r.recordFailure(a.replica, o.Failure, a.startedAt, now)
		}
	}
}

func (r *Router) recordStart(o *zinniamast.Observation, now time.Time) {
	p, ok := r.replicas[o.Upstream]
	if !ok {
		upstream := r.config.Board.Upstreams.Get(o.Upstream)
		if upstream == nil {
			return
		}
		p = r.replica(upstream)
	}
	r.lookup.reset(r.history, o.Prefix)
	history := r.matchHistory(p)
	cachedTokens := max(p.cache.cachedTokens(history, o.PromptTokens), o.CachedTokens)
	priority := min(max(o.Priority, 0), priorityCount-1)
	l := p.load(priority, now)
	a := r.newAttempt()
	*a = attempt{
		replica:      p,
		startedAt:    now,
		service:      p.upstream.Instance.Service,
		priority:     o.Priority,
		promptTokens: o.PromptTokens,
		queuedTokens: max(0, o.PromptTokens-cachedTokens),
		tokensAhead:  l.tokensAhead,
		running:      l.running + 1,
		match:        history,
		cachedTokens: cachedTokens,
		isHome:       r.isHome(p),

		betweenTargetSeconds: o.BetweenTokensTarget.Seconds(),
	}
	r.attempts[o.Attempt] = a
	p.own.running++
	p.own.queuedTokens[priority] += a.queuedTokens
	p.own.recordChange(now)
	p.cache.insert(a.queuedTokens)
	for _, hash := range r.lookup.hashes {
		r.history.touch(hash, p)
	}
}

func (r *Router) recordFirstToken(o *zinniamast.Observation, now time.Time) {
	a, ok := r.attempts[o.Attempt]
	if !ok || !a.firstTokenAt.IsZero() {
		return
	}
	a.firstTokenAt = now
	a.dequeue(now)
}

// dequeue removes the attempt's prompt from the replica's queue.
func (a *attempt) dequeue(now time.Time) {
	priority := min(max(a.priority, 0), priorityCount-1)
	a.replica.own.queuedTokens[priority] -= a.queuedTokens
	a.queuedTokens = 0
	a.replica.own.recordChange(now)
}

func (r *Router) recordEnd(o *zinniamast.Observation, now time.Time) {
	a, ok := r.attempts[o.Attempt]
	if !ok {
		return
	}
	delete(r.attempts, o.Attempt)
	p := a.replica
	running := p.load(priorityCount-1, now).running
	a.dequeue(now)
	p.own.running--
	p.own.recordChange(now)
	p.cache.insert(o.Tokens)
	if o.Failure == "" {
		p.circuit.close()
		r.learn(a, o, running, now)
	} else {
		a.learnStopped(o, now)
		r.recordFailure(p, o.Failure, a.startedAt, now)
	}
	r.freeAttempts = append(r.freeAttempts, a)
}

// learn updates the predictions with a completed answer.
func (r *Router) learn(a *attempt, o *zinniamast.Observation, running float64, now time.Time) {
	p := a.replica
	if p.servesCalls {
		took := now.Sub(a.startedAt) - p.roundTrip
		p.learnFirst(a.running-1, took.Seconds())
		return
	}
	if a.firstTokenAt.IsZero() {
		return
	}
	wait := a.firstTokenAt.Sub(a.startedAt) - p.roundTrip
	cached := o.CachedTokens
	if cached == zinniamast.UnknownCached {
		// The prediction is used, since no report confirms or refutes it.
		cached = a.cachedTokens
	} else {
		p.cache.learn(a.match, cached)
		r.learnHomeHits(a, o)
	}
	p.learnFirst(a.tokensAhead+float64(max(0, a.promptTokens-cached)), wait.Seconds())
	r.learnAnswer(a.service, a.priority, o.Tokens)
	if o.Tokens < 2 {
		return
	}
	between := now.Sub(a.firstTokenAt).Seconds() / float64(o.Tokens-1)
	batch := (a.running + running) / 2
	p.learnBetween(batch, between)
	target := a.betweenTargetSeconds
	if target == 0 {
		target = r.betweenTargetSeconds(a.service)
	}
	p.limit.learn(between, target, batch, now)
}

// learnStopped updates the predictions with the time of an attempt that this node
// cancelled before its first token, if that is already longer than predicted. Otherwise
// nothing would be learned of a slow replica, since hedges complete before its attempts
// do, and it would receive as many as a fast one.
func (a *attempt) learnStopped(o *zinniamast.Observation, now time.Time) {
	p := a.replica
	if o.Failure != zinniamast.FailureStopped || !p.servesCalls && !a.firstTokenAt.IsZero() {
		return
	}
	took := (now.Sub(a.startedAt) - p.roundTrip).Seconds()
	work := a.running - 1
	if !p.servesCalls {
		work = a.tokensAhead + float64(max(0, a.promptTokens-a.cachedTokens))
	}
	if took > p.speed.first.at(work) {
		p.learnFirst(work, took)
	}
}

func (p *replica) learnFirst(work, wait float64) {
	wait = max(wait, 0)
	p.firstFactor.learn(wait, p.speed.first.at(work))
	p.speed.first.learn(work, wait)
}

func (p *replica) learnBetween(batch, between float64) {
	p.betweenFactor.learn(between, p.speed.between.at(batch))
	p.speed.between.learn(batch, between)
}

// homeHitsWeight is the weight of one answer in the mean of homeHits.
const homeHitsWeight = 0.05

func (r *Router) learnHomeHits(a *attempt, o *zinniamast.Observation) {
	rest := a.promptTokens - a.cachedTokens
	if !a.isHome || rest <= 0 {
		return
	}
	key := answerKey{
		service:  a.service,
		priority: a.priority,
	}
	hits, ok := r.homeHits[key]
	if !ok {
		hits = &average{}
		r.homeHits[key] = hits
	}
	hits.add(float64(max(0, o.CachedTokens-a.cachedTokens))/float64(rest), homeHitsWeight)
}

// newAttempt reuses a free attempt, so that the request path does not allocate once it
// is warm.
func (r *Router) newAttempt() *attempt {
	last := len(r.freeAttempts) - 1
	if last < 0 {
		return &attempt{}
	}
	a := r.freeAttempts[last]
	r.freeAttempts = r.freeAttempts[:last]
	return a
}

// maxAttemptAge is the age at which an attempt without an end is considered lost.
const maxAttemptAge = time.Hour

// sweepAttempts removes attempts whose end was never observed, so that they do not
// count as a replica's load permanently.
func (r *Router) sweepAttempts(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		if now.Sub(a.startedAt) < maxAttemptAge {
			continue
		}
		delete(r.attempts, id)
		a.dequeue(now)
		a.replica.own.running--
	}
}
