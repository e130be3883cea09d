// Package experiment compares routing policies on the same seeded work in
// virtual time: a few nodes' routers over small models of engines, which batch
// continuously and cache prefixes in limited memory. It is no simulator of a
// cluster; it exists to measure decisions.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// service is the one model deployment of an experiment.
const service = "assistant"

const (
	// link is the time from a node to an engine.
	link = 1500 * time.Microsecond
	// noticeTime is what a reclaim leaves.
	noticeTime = 5 * time.Second
	// noticeDelay is how long the first sign takes to reach all nodes.
	noticeDelay = 300 * time.Millisecond
	// retryPause is how long a request that found no replica waits at most.
	retryPause = 100 * time.Millisecond
)

// world is one run of a scenario.
type world struct {
	clock
	scenario    Scenario
	random      *rand.Rand
	source      source
	domains     []string
	machines    []*machine
	byID        map[string]*machine
	nodes       []*node
	subscribers []subscriber
	sequence    uint64
	// newsBytes counts what all nodes heard.
	newsBytes int
	attempts  int
	built     int
	requests  []*tracked
	seen      map[uint64]bool
	start     time.Time
}

// Fast and slow are the machine classes of the scenarios.
var (
	fast = Speed{
		Base:        12 * time.Millisecond,
		PerSequence: 800 * time.Microsecond,
		PerPrompt:   50 * time.Microsecond,
		Chunk:       384,
		Sequences:   64,
		CacheTokens: 200_000,
		Price:       2.4,
	}
	slow = Speed{
		Base:        18 * time.Millisecond,
		PerSequence: 1600 * time.Microsecond,
		PerPrompt:   200 * time.Microsecond,
		Chunk:       96,
		Sequences:   32,
		CacheTokens: 100_000,
		Price:       0.9,
	}
)

// Run runs a scenario under a policy and returns what came of it.
func Run(scenario Scenario, policy Policy, seed uint64) Outcome {
	w := newWorld(scenario, policy, seed)
	w.runTo(w.start.Add(scenario.Length))
	w.settle()
	return w.outcome(policy)
}

// newWorld builds a world and plans what comes from outside.
func newWorld(scenario Scenario, policy Policy, seed uint64) *world {
	w := &world{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(seed, 1)),
		source: source{
			random:        rand.New(rand.NewPCG(seed, 2)),
			organisations: Organisations(),
		},
		byID: map[string]*machine{},
		seen: map[uint64]bool{},
	}
	for i := range scenario.Domains {
		w.domains = append(w.domains, fmt.Sprintf("domain-%d", i+1))
	}
	w.start = time.Unix(1_800_000_000, 0)
	w.now = w.start
	w.build(policy, seed)
	w.schedule()
	return w
}

// settle lets what was accepted end, or be late.
func (w *world) settle() { w.runTo(w.now.Add(bulkDeadline)) }

func (w *world) build(policy Policy, seed uint64) {
	for i := range w.scenario.Nodes {
		n := &node{
			world:  w,
			name:   fmt.Sprintf("node-%d", i),
			domain: w.domains[i%len(w.domains)],
			board:  blackboard.New(),
		}
		n.equip(policy, seed*100+uint64(i)+1)
		w.nodes = append(w.nodes, n)
	}
	w.introduce()
	for i := range w.scenario.Replicas {
		w.addMachine(w.domains[i%len(w.domains)], i < w.scenario.Slow)
	}
}

// introduce makes every node known to every other.
func (w *world) introduce() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			n.board.Members.Update(other.name, func(m *blackboard.Member) bool {
				m.FailureDomain = other.domain
				return true
			})
		}
	}
}

// addMachine starts a replica that every node learns of at once.
func (w *world) addMachine(domain string, isSlow bool) {
	speed, class := fast, "fast"
	if isSlow {
		speed, class = slow, "slow"
	}
	m := &machine{
		world: w,
		speed: speed,
		instance: zinniamast.Instance{
			ID:            fmt.Sprintf("engine-%03d", w.built),
			FailureDomain: domain,
			Class:         class,
			Market:        zinniamast.Reclaimable,
			Service:       service,
			Started:       w.now,
		},
		cache:   newBlockCache(speed.CacheTokens, w.Now),
		started: w.now,
	}
	w.built++
	w.machines = append(w.machines, m)
	w.byID[m.instance.ID] = m
	for _, n := range w.nodes {
		n.board.Upstreams.Add(&blackboard.Upstream{
			Instance: m.instance,
			Engine:   m,
		})
		if n.ours != nil {
			n.ours.SetPrices([]zinniamast.Offer{{
				FailureDomain: domain,
				Class:         class,
				Market:        zinniamast.Reclaimable,
				Price:         speed.Price,
			}})
		}
	}
}

// arrive lets a node decide about a new request.
func (w *world) arrive(n *node, q *tracked) {
	w.requests = append(w.requests, q)
	if n.limiter != nil {
		_, err := n.limiter.Admit(zinniamast.Admission{
			Organisation: q.organisation,
			Service:      service,
			Priority:     q.class,
			PromptTokens: q.prompt,
			MaxTokens:    q.answer,
			Deadline:     q.arrived.Add(q.kind.Deadline),
		})
		if err != nil {
			q.refused = string(zinniamast.AsRefusal(err).Reason)
			return
		}
	}
	w.after(q.kind.Deadline, func() { w.expire(q) })
	w.dispatch(n, q)
}

// dispatch sends a request where the policy says, or keeps it at the node.
func (w *world) dispatch(n *node, q *tracked) {
	if q.expired {
		return
	}
	choice, err := n.router.Route(&zinniamast.RouteRequest{
		Request:             q.id,
		Service:             service,
		Organisation:        q.organisation,
		Priority:            q.class,
		PromptTokens:        q.prompt,
		Produced:            q.produced,
		MaxTokens:           4 * q.kind.Answer,
		Prefix:              q.hashes,
		Deadline:            q.arrived.Add(q.kind.Deadline),
		FirstTokenTarget:    firstTarget,
		BetweenTokensTarget: betweenTarget,
		Avoid:               q.avoid,
	})
	if err != nil {
		w.keep(n, q)
		return
	}
	m := w.byID[choice.Upstream]
	w.attempts++
	q.attempts++
	j := &job{
		request: q,
		attempt: fmt.Sprint(w.attempts),
		node:    n,
		machine: m,
		sent:    w.now,
	}
	q.job = j
	n.router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedStart,
		Attempt:      j.attempt,
		Upstream:     choice.Upstream,
		Priority:     q.class,
		PromptTokens: q.prompt + q.produced,
		Prefix:       q.hashes,
	})
	w.after(link, func() { w.deliver(j) })
}

// deliver brings a job to its machine, if that still takes it.
func (w *world) deliver(j *job) {
	if j.ended {
		return
	}
	if j.machine.gone || j.machine.leaving {
		w.fail(j, zinniamast.FailureRefused)
		return
	}
	j.machine.submit(j)
}

// keep holds a request that found no replica, and tries again soon.
func (w *world) keep(n *node, q *tracked) {
	n.pending = append(n.pending, q)
	if n.waking {
		return
	}
	n.waking = true
	w.after(retryPause, func() {
		n.waking = false
		w.dispatchPending(n)
	})
}

// dispatchPending tries requests that waited at the node, the oldest first,
// until one finds no replica.
func (w *world) dispatchPending(n *node) {
	pending := n.pending
	n.pending = nil
	for i, q := range pending {
		w.dispatch(n, q)
		if len(n.pending) > 0 {
			n.pending = append(n.pending, pending[i+1:]...)
			return
		}
	}
}

// expire gives a request up at its deadline.
func (w *world) expire(q *tracked) {
	q.expired = true
	if j := q.job; j != nil && !j.ended {
		j.ended = true
		w.observeEnd(j, zinniamast.FailureStopped)
	}
}

// computed counts what a job makes the machine compute.
func (w *world) computed(j *job) {
	q := j.request
	q.computed += j.left
	known := 0
	for i, hash := range q.hashes {
		if w.seen[hash] {
			known = i + 1
		}
		w.seen[hash] = true
	}
	if known > 0 {
		q.recomputed += max(0, tokensOf(known)-j.cached)
	}
	q.recomputed += q.produced
}

func (w *world) firstToken(j *job) {
	w.after(link, func() {
		j.node.router.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedFirstToken,
			Attempt:  j.attempt,
			Upstream: j.machine.instance.ID,
		})
	})
}

func (w *world) finish(j *job) {
	j.ended = true
	w.after(link, func() {
		w.observeEnd(j, "")
		w.dispatchPending(j.node)
	})
}

func (w *world) observeEnd(j *job, failure zinniamast.Failure) {
	j.node.router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedEnd,
		Attempt:      j.attempt,
		Upstream:     j.machine.instance.ID,
		PromptTokens: j.request.prompt,
		CachedTokens: j.cached,
		Tokens:       j.emitted,
		Failure:      failure,
	})
}

// fail ends an attempt and sends the request elsewhere, from the tokens it has.
func (w *world) fail(j *job, failure zinniamast.Failure) {
	j.ended = true
	w.observeEnd(j, failure)
	j.request.avoid = append(j.request.avoid, j.machine.instance.ID)
	w.dispatch(j.node, j.request)
}

func (w *world) takeReports() {
	for _, m := range w.machines {
		if !m.gone {
			m.report(w.now)
		}
	}
}
