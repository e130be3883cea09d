package canary_test

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
)

// The figures of a world.
const (
	worldService  = "svc"
	oldVersion    = "v1"
	newVersion    = "v2"
	worldDomains  = 4
	bootTime      = 4 * time.Second
	gossipDelay   = 300 * time.Millisecond
	exchangeEvery = 400 * time.Millisecond
	// leaseGap is the time without a leader after one is lost.
	leaseGap = 4500 * time.Millisecond
	// exposureShare and exposureSlack are the rule's bound, and rollbackBound the time after
	// badLimit bad answers from which a bad version gets nothing.
	exposureShare = 0.1
	exposureSlack = 50
	badLimit      = 50
	rollbackBound = 5 * time.Second
	// pauseEvents is the number of events after which a stream's mean pause is counted.
	pauseEvents = 8
)

// badness is what is wrong with the new version.
type badness struct {
	name string
	// fails is the fraction of answers that fail, and slower the factor of their duration.
	fails, slower float64
	// after is the time of a replica's life, and load the fraction of an old replica's mean
	// number of requests, from which it is bad; route is the only bad route, all if negative.
	after time.Duration
	load  float64
	route int
}

// trouble is what happens beside the rollout.
type trouble struct {
	name string
	play func(w *world)
}

// size is the size of a world.
type size struct {
	nodes, replicas int
	rate            float64
}

// route is a kind of request.
type route struct {
	name   string
	share  float64
	median time.Duration
	events int
	pause  time.Duration
	fails  float64
}

var worldRoutes = []route{
	{
		name:   "summary",
		share:  0.2,
		median: 200 * time.Millisecond,
		events: 42,
		pause:  60 * time.Millisecond,
		fails:  0.002,
	},
	{
		name:   "question",
		share:  0.4,
		median: 90 * time.Millisecond,
		events: 30,
		pause:  60 * time.Millisecond,
		fails:  0.002,
	},
	{
		name:   "triage",
		share:  0.3,
		median: 120 * time.Millisecond,
		events: 3,
		pause:  60 * time.Millisecond,
		fails:  0.002,
	},
	{
		name:   "lookup",
		share:  0.1,
		median: 20 * time.Millisecond,
		fails:  0.14,
	},
}

// world is a service with nodes in front of replicas of two versions, in virtual time.
type world struct {
	t        testing.TB
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   events
	sequence int
	size     size
	bad      badness
	within   time.Duration
	rate     float64

	nodes    []*worldNode
	replicas []*worldReplica
	store    *recordStore
	fence    uint64
	leader   *worldNode
	order    uint64
	revision uint64

	// What the plays check.
	requests, exposed, badAnswers int
	badLimitAt                    time.Time
	lateSends                     int
	cut                           int
	completedAt, rolledBackAt     time.Time
	running                       map[*worldRun]bool
}

type worldNode struct {
	world   *world
	name    string
	domain  string
	canary  *canary.Canary
	leader  *canary.Leader
	board   *blackboard.Upstreams
	subs    map[zinniamast.Topic][]func(zinniamast.GossipItem)
	isCut   bool
	cutEnds time.Time
	bornAt  time.Time
	life    int
}

type worldReplica struct {
	id, version, domain string
	speed               float64
	born                time.Time
	running             int
	isGone              bool
	failUntil           time.Time
	fails, slower       float64
}

type worldRun struct {
	node    *worldNode
	replica *worldReplica
	life    int
	isCut   bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// recordStore keeps records as the platform does.
type recordStore struct {
	record zinniamast.RolloutRecord
	isAway bool
	// losesAnswers makes writes take effect without an answer.
	losesAnswers bool
	onWrite      func(zinniamast.RolloutRecord)
}

var errAway = errors.New("no answer")

func (s *recordStore) ReadRollouts(context.Context) ([]zinniamast.RolloutRecord, error) {
	if s.isAway {
		return nil, errAway
	}
	if s.record.Revision == 0 {
		return nil, nil
	}
	return []zinniamast.RolloutRecord{s.record}, nil
}

func (s *recordStore) WriteRollout(_ context.Context, r zinniamast.RolloutRecord) (uint64, error) {
	if s.isAway {
		return 0, errAway
	}
	if r.Revision != s.record.Revision {
		return 0, zinniamast.ErrConflict
	}
	r.Revision++
	s.record = r
	s.onWrite(r)
	if s.losesAnswers {
		return 0, errAway
	}
	return r.Revision, nil
}

func newWorld(t testing.TB, size size, bad badness, within time.Duration, seed uint64) *world {
	start := time.Unix(1_800_000_000, 0)
	w := &world{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 7)),
		start:   start,
		now:     start,
		size:    size,
		bad:     bad,
		within:  within,
		rate:    size.rate,
		store:   &recordStore{},
		running: map[*worldRun]bool{},
	}
	w.store.onWrite = w.recordWritten
	for range size.replicas {
		w.addReplica(oldVersion, start.Add(-time.Minute))
	}
	for i := range size.nodes {
		n := &worldNode{
			world:  w,
			name:   fmt.Sprint("node-", i),
			domain: fmt.Sprint("domain-", i%worldDomains),
		}
		w.nodes = append(w.nodes, n)
		n.startUp()
		w.after(time.Duration(w.random.Int64N(int64(exchangeEvery))), n.exchange)
	}
	w.takeLease()
	w.arrive()
	w.lead()
	w.at(2*time.Second, w.giveOrder)
	return w
}

func (w *world) at(at time.Duration, run func()) { w.schedule(w.start.Add(at), run) }
func (w *world) after(in time.Duration, run func()) {
	w.schedule(w.now.Add(in), run)
}
func (w *world) schedule(at time.Time, run func()) {
	w.sequence++
	heap.Push(&w.events, event{
		at:       at,
		sequence: w.sequence,
		run:      run,
	})
}

// play runs the world for a time.
func (w *world) play(length time.Duration) {
	end := w.start.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}

// giveOrder orders the rollout, and starts its replicas.
func (w *world) giveOrder() {
	w.revision++
	w.order = w.revision
	for _, n := range w.nodes {
		w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { n.hearOrder() })
	}
	w.after(bootTime, func() {
		for range w.size.replicas {
			w.addReplica(newVersion, w.now)
		}
		for _, n := range w.nodes {
			n.readReplicas()
		}
	})
}

func (n *worldNode) hearOrder() {
	if n.world.order == 0 {
		return
	}
	n.canary.SetOrder(zinniamast.RolloutOrder{
		Service:  worldService,
		Version:  newVersion,
		Within:   n.world.within,
		Revision: n.world.order,
	})
}

func (w *world) addReplica(version string, born time.Time) {
	i := len(w.replicas)
	w.replicas = append(w.replicas, &worldReplica{
		id:      fmt.Sprint("i-", i),
		version: version,
		domain:  fmt.Sprint("domain-", i%worldDomains),
		speed:   []float64{0.6, 1, 1.6}[w.random.IntN(3)],
		born:    born,
		slower:  1,
	})
}

// arrive sends a request, and schedules the next one.
func (w *world) arrive() {
	w.after(time.Duration(w.random.ExpFloat64()/w.rate*float64(time.Second)), w.arrive)
	draw, kind := w.random.Float64(), 0
	for ; kind < len(worldRoutes)-1 && draw > worldRoutes[kind].share; kind++ {
		draw -= worldRoutes[kind].share
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if w.order > 0 && w.now.Before(w.start.Add(2*time.Second+w.within)) {
		w.requests++
	}
	w.send(n, fmt.Sprint("r-", w.random.Uint64()), kind, nil)
}

// send sends a request to a replica that the node's canary allows.
func (w *world) send(n *worldNode, id string, kind int, failed *worldReplica) {
	selection := n.canary.Select(canary.Query{
		Service: worldService,
		Request: id,
		IsRetry: failed != nil,
	})
	r := w.choose(n, selection, failed)
	if r == nil && selection.Trial != "" {
		r = w.choose(n, selection.WithoutTrial(), failed)
	}
	if r == nil {
		return
	}
	if r.version == newVersion && w.bad.isBad() {
		w.exposed++
		if !w.badLimitAt.IsZero() && w.now.Sub(w.badLimitAt) > rollbackBound && !n.isCut && w.now.Sub(n.cutEnds) > 4*time.Second {
			w.lateSends++
		}
	}
	run := &worldRun{
		node:    n,
		replica: r,
		life:    n.life,
	}
	w.running[run] = true
	upstream := n.board.Get(r.id)
	upstream.BeginAttempt()
	r.running++
	w.finish(run, upstream, id, kind, failed != nil)
}

// choose returns the less loaded of two replicas that may be chosen.
func (w *world) choose(n *worldNode, selection canary.Selection, failed *worldReplica) *worldReplica {
	request := &zinniamast.RouteRequest{
		AvoidVersions: selection.AvoidVersions,
		Only:          selection.Only,
	}
	var usable []*worldReplica
	for _, r := range w.replicas {
		u := n.board.Get(r.id)
		if u != nil && r != failed && !r.isGone && u.Accepts(request) && (!n.isCut || r.domain == n.domain) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	a, b := usable[w.random.IntN(len(usable))], usable[w.random.IntN(len(usable))]
	if float64(b.running)/b.speed < float64(a.running)/a.speed {
		return b
	}
	return a
}

func (b badness) isBad() bool { return b.fails > 0 || b.slower > 1 }

// finish schedules the end of a run and draws its outcome.
func (w *world) finish(run *worldRun, upstream *blackboard.Upstream, id string, kind int, isRetry bool) {
	r, k := run.replica, worldRoutes[kind]
	fails, slower := k.fails, 1/r.speed*r.slower
	if w.now.Before(r.failUntil) {
		fails = max(fails, r.fails)
	}
	meanLoad := w.size.rate / float64(w.size.replicas) * 1.3
	slower *= 1 + 0.3*max(0, float64(r.running)/max(meanLoad, 1)-1)
	isBad := r.version == newVersion && w.bad.isBad() && w.now.Sub(r.born) >= w.bad.after &&
		float64(r.running) >= w.bad.load*meanLoad && (w.bad.route < 0 || w.bad.route == kind)
	if isBad {
		fails = max(fails, w.bad.fails)
		slower *= max(1, w.bad.slower)
	}
	isFailed := w.random.Float64() < fails
	first := time.Duration(float64(k.median) * math.Exp(0.6*w.random.NormFloat64()) * slower)
	pause := time.Duration(float64(k.pause) * math.Exp(0.2*w.random.NormFloat64()) * slower)
	took := first
	if k.events > 0 {
		took += pause * time.Duration(float64(k.events)*math.Exp(0.4*w.random.NormFloat64()))
	}
	if isFailed {
		took = first / 2
	}
	took = min(took, 12*time.Second)
	sample := canary.Sample{
		Service:       worldService,
		Route:         k.name,
		Version:       r.version,
		FailureDomain: r.domain,
	}
	if !isFailed {
		w.after(min(first, took), func() {
			if run.life == run.node.life && !run.isCut {
				began := sample
				began.First = first
				run.node.canary.Observe(began)
			}
		})
	}
	isLong := k.events >= pauseEvents && !isFailed
	if isLong {
		w.after(min(first+(pauseEvents-1)*pause, took), func() {
			if run.life == run.node.life && !run.isCut {
				paused := sample
				paused.Pause = pause
				run.node.canary.Observe(paused)
			}
		})
	}
	w.after(took, func() {
		delete(w.running, run)
		r.running--
		upstream.EndAttempt()
		if run.life != run.node.life || run.isCut {
			return
		}
		if isBad && (isFailed || w.bad.slower > 1) {
			w.badAnswers++
			if w.badAnswers == badLimit {
				w.badLimitAt = w.now
			}
		}
		sample.IsFailed, sample.Took = isFailed, took
		if k.events > 0 && !isLong {
			sample.Pause = pause
		}
		run.node.canary.Observe(sample)
		if isFailed && !isRetry {
			w.send(run.node, id, kind, r)
		}
	})
}
