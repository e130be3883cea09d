// Package experiment compares routing policies on the same seeded workload in
// virtual time. The routers of a few nodes send requests to simple models of
// engines, which batch continuously and cache prefixes in limited memory. The
// package measures routing decisions; it does not simulate a whole cluster.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// service is the only service of an experiment.
const service = "assistant"

const (
	// networkDelay is the one-way delay between a node and an engine.
	networkDelay = 1500 * time.Microsecond
	// reclaimNotice is the time between the notice of a reclaim and the removal.
	reclaimNotice = 5 * time.Second
	// noticePropagation is how long a reclaim notice takes to reach all nodes.
	noticePropagation = 300 * time.Millisecond
	// retryDelay is the longest wait before a request that found no replica is retried.
	retryDelay = 100 * time.Millisecond
)

// world is the state of one run of a scenario.
type world struct {
	clock
	scenario     Scenario
	random       *rand.Rand
	source       source
	domains      []string
	replicas     []*replica
	replicasByID map[string]*replica
	nodes        []*node
	subscribers  []subscriber
	sequence     uint64
	// gossipBytes counts the gossip bytes that all nodes received.
	gossipBytes      int
	attempts         int
	replicasStarted  int
	requests         []*request
	computedPrefixes map[uint64]bool
	start            time.Time
}

// fast and slow are the instance classes of the scenarios.
var (
	fast = Speed{
		StepBase:       12 * time.Millisecond,
		PerSequence:    800 * time.Microsecond,
		PerPromptToken: 50 * time.Microsecond,
		ChunkTokens:    384,
		MaxSequences:   64,
		CacheTokens:    200_000,
		PricePerHour:   2.4,
	}
	slow = Speed{
		StepBase:       18 * time.Millisecond,
		PerSequence:    1600 * time.Microsecond,
		PerPromptToken: 200 * time.Microsecond,
		ChunkTokens:    96,
		MaxSequences:   32,
		CacheTokens:    100_000,
		PricePerHour:   0.9,
	}
)

// Run runs a scenario under a policy and returns its outcome.
func Run(scenario Scenario, policy Policy, seed uint64) Outcome {
	w := newWorld(scenario, policy, seed)
	w.runTo(w.start.Add(scenario.Length))
	w.drain()
	return w.outcome(policy)
}

// newWorld builds the nodes and replicas and schedules the external events.
func newWorld(scenario Scenario, policy Policy, seed uint64) *world {
	w := &world{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(seed, 1)),
		source: source{
			random:        rand.New(rand.NewPCG(seed, 2)),
			organisations: Organisations(),
		},
		replicasByID:     map[string]*replica{},
		computedPrefixes: map[uint64]bool{},
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

// drain runs the events until every accepted request has ended or passed its deadline.
func (w *world) drain() { w.runTo(w.now.Add(bulkDeadline)) }

func (w *world) build(policy Policy, seed uint64) {
	for i := range w.scenario.Nodes {
		n := &node{
			world:  w,
			name:   fmt.Sprintf("node-%d", i),
			domain: w.domains[i%len(w.domains)],
			board:  blackboard.New(),
		}
		n.setRouter(policy, seed*100+uint64(i)+1)
		w.nodes = append(w.nodes, n)
	}
	w.registerMembers()
	for i := range w.scenario.Replicas {
		w.addReplica(w.domains[i%len(w.domains)], i < w.scenario.SlowReplicas)
	}
}

// registerMembers adds all nodes to the member list of every node.
func (w *world) registerMembers() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			n.board.Members.Update(other.name, func(m *blackboard.Member) bool {
				m.FailureDomain = other.domain
				return true
			})
		}
	}
}

// addReplica starts a replica and adds it to all nodes immediately.
func (w *world) addReplica(domain string, isSlow bool) {
	speed, class := fast, "fast"
	if isSlow {
		speed, class = slow, "slow"
	}
	r := &replica{
		world: w,
		speed: speed,
		instance: zinniamast.Instance{
			ID:            fmt.Sprintf("engine-%03d", w.replicasStarted),
			FailureDomain: domain,
			Class:         class,
			Market:        zinniamast.Reclaimable,
			Service:       service,
			Started:       w.now,
		},
		cache:   newBlockCache(speed.CacheTokens, w.Now),
		started: w.now,
	}
	w.replicasStarted++
	w.replicas = append(w.replicas, r)
	w.replicasByID[r.instance.ID] = r
	for _, n := range w.nodes {
		n.board.Upstreams.Add(&blackboard.Upstream{
			Instance: r.instance,
			Engine:   r,
		})
		if n.routingRouter != nil {
			n.routingRouter.SetPrices([]zinniamast.Offer{{
				FailureDomain: domain,
				Class:         class,
				Market:        zinniamast.Reclaimable,
				Price:         speed.PricePerHour,
			}})
		}
	}
}

// arrive admits a new request at a node, if its limiter allows, and dispatches it.
func (w *world) arrive(n *node, q *request) {
	w.requests = append(w.requests, q)
	if n.limiter != nil {
		_, err := n.limiter.Admit(zinniamast.Admission{
			Organisation: q.organisation,
			Service:      service,
			Priority:     q.class,
			PromptTokens: q.promptTokens,
			MaxTokens:    q.answerTokens,
			Deadline:     q.arrived.Add(q.kind.Deadline),
		})
		if err != nil {
			q.refusal = string(zinniamast.AsRefusal(err).Reason)
			return
		}
	}
	w.after(q.kind.Deadline, func() { w.expire(q) })
	w.dispatch(n, q)
}

// dispatch sends a request to the replica that the policy chooses, or queues it
// at the node if the policy chooses none.
func (w *world) dispatch(n *node, q *request) {
	if q.expired {
		return
	}
	choice, err := n.router.Route(&zinniamast.RouteRequest{
		Request:             q.id,
		Service:             service,
		Organisation:        q.organisation,
		Priority:            q.class,
		PromptTokens:        q.promptTokens,
		Produced:            q.produced,
		MaxTokens:           4 * q.kind.AnswerTokens,
		Prefix:              q.hashes,
		Deadline:            q.arrived.Add(q.kind.Deadline),
		FirstTokenTarget:    firstTokenTarget,
		BetweenTokensTarget: betweenTokensTarget,
		Avoid:               q.avoid,
	})
	if err != nil {
		w.enqueue(n, q)
		return
	}
	r := w.replicasByID[choice.Upstream]
	w.attempts++
	q.attempts++
	j := &job{
		request:   q,
		attemptID: fmt.Sprint(w.attempts),
		node:      n,
		replica:   r,
		sent:      w.now,
	}
	q.job = j
	n.router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedStart,
		Attempt:      j.attemptID,
		Upstream:     choice.Upstream,
		Priority:     q.class,
		PromptTokens: q.promptTokens + q.produced,
		Prefix:       q.hashes,
	})
	w.after(networkDelay, func() { w.deliver(j) })
}

// deliver submits a job to its replica, or fails it if the replica is leaving or removed.
func (w *world) deliver(j *job) {
	if j.ended {
		return
	}
	if j.replica.removed || j.replica.leaving {
		w.fail(j, zinniamast.FailureRefused)
		return
	}
	j.replica.submit(j)
}

// enqueue queues a request that found no replica and schedules a retry.
func (w *world) enqueue(n *node, q *request) {
	n.pending = append(n.pending, q)
	if n.retryScheduled {
		return
	}
	n.retryScheduled = true
	w.after(retryDelay, func() {
		n.retryScheduled = false
		w.dispatchPending(n)
	})
}

// dispatchPending dispatches the requests queued at the node, the oldest first,
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

// expire cancels a request at its deadline.
func (w *world) expire(q *request) {
	q.expired = true
	if j := q.job; j != nil && !j.ended {
		j.ended = true
		w.observeEnd(j, zinniamast.FailureStopped)
	}
}

// countComputed counts the tokens that a job makes its replica compute, and
// those of them that were computed before.
func (w *world) countComputed(j *job) {
	q := j.request
	q.computed += j.remaining
	known := 0
	for i, hash := range q.hashes {
		if w.computedPrefixes[hash] {
			known = i + 1
		}
		w.computedPrefixes[hash] = true
	}
	if known > 0 {
		q.recomputed += max(0, tokensOf(known)-j.cached)
	}
	q.recomputed += q.produced
}

func (w *world) observeFirstToken(j *job) {
	w.after(networkDelay, func() {
		j.node.router.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedFirstToken,
			Attempt:  j.attemptID,
			Upstream: j.replica.instance.ID,
		})
	})
}

func (w *world) finish(j *job) {
	j.ended = true
	w.after(networkDelay, func() {
		w.observeEnd(j, "")
		w.dispatchPending(j.node)
	})
}

func (w *world) observeEnd(j *job, failure zinniamast.Failure) {
	j.node.router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedEnd,
		Attempt:      j.attemptID,
		Upstream:     j.replica.instance.ID,
		PromptTokens: j.request.promptTokens,
		CachedTokens: j.cached,
		Tokens:       j.emitted,
		Failure:      failure,
	})
}

// fail ends an attempt and dispatches the request to another replica, which
// resumes after the tokens already produced.
func (w *world) fail(j *job, failure zinniamast.Failure) {
	j.ended = true
	w.observeEnd(j, failure)
	j.request.avoid = append(j.request.avoid, j.replica.instance.ID)
	w.dispatch(j.node, j.request)
}

func (w *world) recordLoads() {
	for _, r := range w.replicas {
		if !r.removed {
			r.recordLoad(w.now)
		}
	}
}
