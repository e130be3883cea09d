package routing

import (
	"time"

	"zinniamast"
)

// attempt is one attempt in progress.
type attempt struct {
	replica *replica
	started time.Time
	first   time.Time
	// service and priority name the expected length of the answer.
	service  string
	priority int
	prompt   int
	// queued is counted in the replica's queue until the first token.
	queued int
	// ahead is what was to compute before this attempt's own tokens.
	ahead float64
	// running were the sequences at the start, this one included.
	running float64
	known   match
	// betweenTarget is the request's own, in seconds; zero means the service's.
	betweenTarget float64
	// held is what the history made believe to be cached, and home means that
	// the replica is a home of the prompt.
	held int
	home bool
}

// Observe implements zinniamast.Router.
func (r *Router) Observe(o zinniamast.Observation) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.Kind {
	case zinniamast.ObservedStart:
		r.start(&o, now)
	case zinniamast.ObservedFirstToken:
		r.firstToken(&o, now)
	case zinniamast.ObservedEnd:
		r.end(&o, now)
	}
}

func (r *Router) start(o *zinniamast.Observation, now time.Time) {
	p, ok := r.replicas[o.Upstream]
	if !ok {
		upstream := r.config.Board.Upstreams.Get(o.Upstream)
		if upstream == nil {
			return
		}
		p = r.replica(upstream)
	}
	r.lookup.reset(r.history, o.Prefix)
	known := r.matched(p)
	held := max(p.cache.held(known, o.PromptTokens), o.CachedTokens)
	priority := min(max(o.Priority, 0), priorities-1)
	l := p.load(priority, now)
	a := r.newAttempt()
	*a = attempt{
		replica:  p,
		started:  now,
		service:  p.upstream.Instance.Service,
		priority: o.Priority,
		prompt:   o.PromptTokens,
		queued:   max(0, o.PromptTokens-held),
		ahead:    l.ahead,
		running:  l.running + 1,
		known:    known,
		held:     held,
		home:     r.isHome(p),

		betweenTarget: o.BetweenTokensTarget.Seconds(),
	}
	r.attempts[o.Attempt] = a
	p.own.running++
	p.own.queued[priority] += a.queued
	p.own.mark(now)
	p.cache.take(a.queued)
	for _, hash := range r.lookup.hashes {
		r.history.touch(hash, p)
	}
}

func (r *Router) firstToken(o *zinniamast.Observation, now time.Time) {
	a, ok := r.attempts[o.Attempt]
	if !ok || !a.first.IsZero() {
		return
	}
	a.first = now
	a.unqueue(now)
}

// unqueue takes the attempt's prompt out of the replica's queue.
func (a *attempt) unqueue(now time.Time) {
	priority := min(max(a.priority, 0), priorities-1)
	a.replica.own.queued[priority] -= a.queued
	a.queued = 0
	a.replica.own.mark(now)
}

func (r *Router) end(o *zinniamast.Observation, now time.Time) {
	a, ok := r.attempts[o.Attempt]
	if !ok {
		return
	}
	delete(r.attempts, o.Attempt)
	p := a.replica
	running := p.load(priorities-1, now).running
	a.unqueue(now)
	p.own.running--
	p.own.mark(now)
	p.cache.take(o.Tokens)
	if o.Failure == "" {
		p.circuit.succeed()
		r.learn(a, o, running, now)
	} else {
		a.learnStopped(o, now)
		r.failed(p, o.Failure, a.started, now)
	}
	r.spare = append(r.spare, a)
}

// learn takes in what a whole answer showed.
func (r *Router) learn(a *attempt, o *zinniamast.Observation, running float64, now time.Time) {
	p := a.replica
	if p.plain {
		took := now.Sub(a.started) - p.distance
		p.learnFirst(a.running-1, took.Seconds())
		return
	}
	if a.first.IsZero() {
		return
	}
	wait := a.first.Sub(a.started) - p.distance
	cached := o.CachedTokens
	if cached == zinniamast.UnknownCached {
		// The history's belief stands; nothing confirms or refutes it.
		cached = a.held
	} else {
		p.cache.learn(a.known, cached)
		r.learnSurprise(a, o)
	}
	p.learnFirst(a.ahead+float64(max(0, a.prompt-cached)), wait.Seconds())
	r.learnAnswer(a.service, a.priority, o.Tokens)
	if o.Tokens < 2 {
		return
	}
	between := now.Sub(a.first).Seconds() / float64(o.Tokens-1)
	batch := (a.running + running) / 2
	p.learnBetween(batch, between)
	target := a.betweenTarget
	if target == 0 {
		target = r.betweenTarget(a.service)
	}
	p.limit.learn(between, target, batch, now)
}

// learnStopped takes in the time of a call that this node stopped, if that is
// already longer than expected.
//
// Failure: a slow replica's calls are overtaken by hedges before they end, so
// nothing is ever learned of it, and it gets as many calls as a quick one.
func (a *attempt) learnStopped(o *zinniamast.Observation, now time.Time) {
	p := a.replica
	if o.Failure != zinniamast.FailureStopped || !p.plain {
		return
	}
	took := (now.Sub(a.started) - p.distance).Seconds()
	if work := a.running - 1; took > p.speed.first.at(work) {
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

// surpriseWeight is how fast the expectation for unknown prefixes follows.
const surpriseWeight = 0.05

func (r *Router) learnSurprise(a *attempt, o *zinniamast.Observation) {
	rest := a.prompt - a.held
	if !a.home || rest <= 0 {
		return
	}
	key := answerKey{
		service:  a.service,
		priority: a.priority,
	}
	hits, ok := r.surprise[key]
	if !ok {
		hits = &average{}
		r.surprise[key] = hits
	}
	hits.add(float64(max(0, o.CachedTokens-a.held))/float64(rest), surpriseWeight)
}

// newAttempt takes a spare one, so that the request path allocates none when it is warm.
func (r *Router) newAttempt() *attempt {
	last := len(r.spare) - 1
	if last < 0 {
		return &attempt{}
	}
	a := r.spare[last]
	r.spare = r.spare[:last]
	return a
}

// attemptLife is when an attempt that never ended is taken for lost.
const attemptLife = time.Hour

// sweepAttempts forgets attempts whose end was never told, so that they do
// not make a replica look loaded for good.
func (r *Router) sweepAttempts(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		if now.Sub(a.started) < attemptLife {
			continue
		}
		delete(r.attempts, id)
		a.unqueue(now)
		a.replica.own.running--
	}
}
