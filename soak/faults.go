package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/replica"
	"zinniamast/standin/store"
)

// fault is one kind of fault. target selects what the fault affects, and begin
// starts the fault and returns the function that ends it.
type fault struct {
	name   string
	target func(d *deployment, random *rand.Rand) any
	begin  func(d *deployment, target any, random *rand.Rand) (end func())
	// unplanned makes the loss of a request at the fault's target acceptable while
	// the fault lasts.
	unplanned bool
}

// mixesPaths reports whether an instance may use another one's links after the fault: an
// instance that starts gets the replicas from whoever answers first, the store or a neighbour.
func (f fault) mixesPaths() bool {
	return f.name == "kill" || f.name == "stop" || strings.Contains(f.name, "store")
}

// asUnplanned returns the fault marked as unplanned.
func (f fault) asUnplanned() fault {
	f.unplanned = true
	return f
}

// newFault returns a fault whose targets have the type T.
func newFault[T any](name string, target func(d *deployment, random *rand.Rand) T,
	begin func(d *deployment, target T, random *rand.Rand) (end func())) fault {
	return fault{
		name:   name,
		target: func(d *deployment, random *rand.Rand) any { return target(d, random) },
		begin: func(d *deployment, target any, random *rand.Rand) func() {
			return begin(d, target.(T), random)
		},
	}
}

const (
	// maxFaultInterval is the longest time between the starts of two faults of a
	// series. Faults overlap, since each lasts for up to maxFaultDuration.
	maxFaultInterval = 700 * time.Millisecond
	maxFaultDuration = 2 * time.Second
)

// faults are the faults of the first series.
var faults = []fault{
	newFault("kill", randomNode, func(d *deployment, n *node, _ *rand.Rand) func() {
		n.process.Kill()
		return func() { d.startNode(n) }
	}).asUnplanned(),
	newFault("pause", randomNode, func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.process.Pause()
		return n.process.Resume
	}).asUnplanned(),
	newFault("stop", randomNode, func(d *deployment, n *node, _ *rand.Rand) func() {
		n.process.Terminate()
		return func() {
			_ = n.process.Wait(stopTimeout) // The process logs how it ended.
			d.startNode(n)
		}
	}),
	newFault("store down", storeTarget, storeFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})),
	newFault("store loses answers", storeTarget, storeFault(store.Fault{
		LoseWriteAnswers: true,
	})),
	newFault("one instance's store silent", randomStoreLink, silenceLink),
	newFault("replica slow", randomReplicaLink, func(_ *deployment, link *processtest.Link, random *rand.Rand) func() {
		link.Delay(time.Duration(50+random.IntN(300)) * time.Millisecond)
		return link.Clear
	}),
	newFault("replica silent", randomReplicaLink, silenceLink).asUnplanned(),
	newFault("replica resets", randomReplicaLink, func(_ *deployment, link *processtest.Link, _ *rand.Rand) func() {
		link.Reset()
		return link.Clear
	}).asUnplanned(),
	newFault("replica leaves", randomReplica, func(d *deployment, r *replica.Replica, _ *rand.Rand) func() {
		return d.replace(r)
	}),
	newFault("configuration changes", configurationTarget, func(d *deployment, _ *int, _ *rand.Rand) func() {
		d.putNextConfiguration()
		return func() {}
	}),
	newFault("replica misbehaves", randomReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(misbehaviours[random.IntN(len(misbehaviours))])
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
}

// silenceFaults make healthy replicas send nothing for a while, as replicas do that
// prefill long prompts or preempt a request, and reload instances meanwhile. They
// are a series of their own, so that several replicas at a time are silent during
// the other faults.
var silenceFaults = []fault{
	newFault("replica pauses in streams", randomReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(replica.Behaviour{
			PauseAfter: 1 + random.IntN(replica.StreamEvents-1),
			Pause:      randomDuration(random, 1200*time.Millisecond, 1800*time.Millisecond),
		})
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
	newFault("replica begins late", randomReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(replica.Behaviour{
			Delay: randomDuration(random, 400*time.Millisecond, time.Second),
		})
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
	newFault("reload", randomNode, func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.process.Hangup()
		return func() {}
	}),
}

// randomDuration returns a random duration from least up to most.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// misbehaviours are the ways in which a faulty replica answers.
var misbehaviours = []replica.Behaviour{
	{NotRun: true},
	{Reset: true},
	{OmitStamp: true},
	{Crossed: true},
	{CutBody: true},
	{Unframed: true},
	{Unframed: true, ResetEnd: true},
	{Status: http.StatusInternalServerError},
}

func randomNode(d *deployment, random *rand.Rand) *node { return d.nodes[random.IntN(len(d.nodes))] }

func randomStoreLink(d *deployment, random *rand.Rand) *processtest.Link {
	return randomNode(d, random).storeLink
}

func randomReplicaLink(d *deployment, random *rand.Rand) *processtest.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[random.IntN(len(d.links))]
}

func randomReplica(d *deployment, random *rand.Rand) *replica.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicas[random.IntN(len(d.replicas))]
}

func configurationTarget(d *deployment, _ *rand.Rand) *int { return &d.version }

func storeTarget(d *deployment, _ *rand.Rand) *store.Store { return d.store }

// storeFault returns a begin function that sets a fault of the store.
func storeFault(f store.Fault) func(*deployment, *store.Store, *rand.Rand) func() {
	return func(_ *deployment, s *store.Store, _ *rand.Rand) func() {
		s.SetFault(f)
		return func() { s.SetFault(store.Fault{}) }
	}
}

// silenceLink drops everything that comes back through a link.
func silenceLink(_ *deployment, link *processtest.Link, _ *rand.Rand) func() {
	link.DropResponses()
	return link.Clear
}

// stopTimeout is the graceful stop time of the settings (graceS) plus a margin for a
// busy machine.
const stopTimeout = 12 * time.Second

// injector injects faults. Faults overlap, but each target has one fault at a time.
type injector struct {
	deployment *deployment
	started    time.Time
	running    sync.WaitGroup

	mu       sync.Mutex
	active   map[any]bool
	injected []string
}

// injectFaults injects faults until ctx ends and returns a description of each. All
// faults have ended when it returns.
func (d *deployment) injectFaults(ctx context.Context, c Config) []string {
	i := &injector{
		deployment: d,
		started:    time.Now(),
		active:     map[any]bool{},
	}
	var series sync.WaitGroup
	first := faults
	if c.OwnPaths {
		first = slices.DeleteFunc(slices.Clone(faults), fault.mixesPaths)
	}
	if c.keepsReplicas {
		first = slices.DeleteFunc(slices.Clone(first), fault.changesReplicas)
	}
	series.Go(func() { i.injectSeries(ctx, first, rand.New(rand.NewPCG(c.Seed, c.Seed))) })
	series.Go(func() { i.injectSeries(ctx, silenceFaults, rand.New(rand.NewPCG(c.Seed, ^c.Seed))) })
	if c.OwnPaths {
		series.Go(func() { i.injectSeries(ctx, pathFaults, rand.New(rand.NewPCG(^c.Seed, c.Seed))) })
	}
	series.Wait()
	i.running.Wait()
	return i.injected
}

// injectSeries starts one random fault after the other until ctx ends.
func (i *injector) injectSeries(ctx context.Context, from []fault, random *rand.Rand) {
	for ctx.Err() == nil {
		f := from[random.IntN(len(from))]
		target := f.target(i.deployment, random)
		length := time.Duration(random.Int64N(int64(maxFaultDuration)))
		if i.reserve(target, fmt.Sprintf("%s for %v", f.name, length.Round(time.Millisecond))) {
			i.inject(f, target, length, random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultInterval))))
	}
}

// reserve records a fault of a target and returns true, unless the target already
// has a fault.
func (i *injector) reserve(target any, what string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active[target] {
		return false
	}
	i.active[target] = true
	i.injected = append(i.injected, fmt.Sprintf("%v %s", time.Since(i.started).Round(time.Millisecond), what))
	return true
}

// inject starts a fault and ends it after length, without waiting for the end.
func (i *injector) inject(f fault, target any, length time.Duration, random *rand.Rand) {
	from := time.Now()
	end := f.begin(i.deployment, target, random)
	i.running.Go(func() {
		time.Sleep(length)
		end()
		if f.unplanned {
			i.deployment.recordDisturbance(target, from)
		}
		i.deployment.recordNodeFault(target, from)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.active[target] = false
	})
}

// killAndRestartAll kills all instances at once and starts them again.
func (d *deployment) killAndRestartAll() {
	for _, n := range d.nodes {
		n.process.Kill()
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
}
