package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/replica"
	"zinniamast/standin/store"
)

// fault is one fault: target draws what it strikes, and begin makes it and
// returns what ends it.
type fault struct {
	name   string
	target func(d *deployment, random *rand.Rand) any
	begin  func(d *deployment, target any, random *rand.Rand) (end func())
	// unplanned says that it excuses a request that is cut meanwhile at its target.
	unplanned bool
}

// excusing returns the fault as one that excuses.
func (f fault) excusing() fault {
	f.unplanned = true
	return f
}

// strike makes a fault of things of one type.
func strike[T any](name string, target func(d *deployment, random *rand.Rand) T,
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
	// between is the longest time from one fault's beginning to the next one's;
	// faults overlap, since each lasts for up to lasting.
	between = 700 * time.Millisecond
	lasting = 2 * time.Second
)

// faults are all there are.
var faults = []fault{
	strike("kill", anyNode, func(d *deployment, n *node, _ *rand.Rand) func() {
		n.process.Kill()
		return func() { d.start(n) }
	}).excusing(),
	strike("pause", anyNode, func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.process.Pause()
		return n.process.Resume
	}).excusing(),
	strike("stop", anyNode, func(d *deployment, n *node, _ *rand.Rand) func() {
		n.process.Terminate()
		return func() {
			_ = n.process.Wait(stopWithin) // How it ended is logged by the process.
			d.start(n)
		}
	}),
	strike("store down", theStore, storeFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})),
	strike("store loses answers", theStore, storeFault(store.Fault{
		LoseWriteAnswers: true,
	})),
	strike("one instance's store silent", anyStoreLink, silence),
	strike("replica slow", anyReplicaLink, func(_ *deployment, link *processtest.Link, random *rand.Rand) func() {
		link.Slow(time.Duration(50+random.IntN(300)) * time.Millisecond)
		return link.Clear
	}),
	strike("replica silent", anyReplicaLink, silence).excusing(),
	strike("replica resets", anyReplicaLink, func(_ *deployment, link *processtest.Link, _ *rand.Rand) func() {
		link.Reset()
		return link.Clear
	}).excusing(),
	strike("replica leaves", anyReplica, func(d *deployment, r *replica.Replica, _ *rand.Rand) func() {
		return d.replace(r)
	}),
	strike("configuration changes", theConfiguration, func(d *deployment, _ *int, _ *rand.Rand) func() {
		d.configure()
		return func() {}
	}),
	strike("replica misbehaves", anyReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(misbehaviours[random.IntN(len(misbehaviours))])
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
}

// silences are well replicas that tell nothing for a while, as those that read long
// prompts or preempt a request, and reloads beside them. They are drawn apart from
// faults, so that several replicas at a time are silent beside the other faults.
var silences = []fault{
	strike("replica pauses in streams", anyReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(replica.Behaviour{
			PauseAfter: 1 + random.IntN(replica.StreamEvents-1),
			Pause:      within(random, 1200*time.Millisecond, 1800*time.Millisecond),
		})
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
	strike("replica begins late", anyReplica, func(_ *deployment, r *replica.Replica, random *rand.Rand) func() {
		r.SetBehaviour(replica.Behaviour{
			Delay: within(random, 400*time.Millisecond, time.Second),
		})
		return func() { r.SetBehaviour(replica.Behaviour{}) }
	}),
	strike("reload", anyNode, func(_ *deployment, n *node, _ *rand.Rand) func() {
		n.process.Hangup()
		return func() {}
	}),
}

// within draws a time from a span.
func within(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// misbehaviours are answers that a faulty replica gives.
var misbehaviours = []replica.Behaviour{
	{NotRun: true},
	{Reset: true},
	{OmitStamp: true},
	{Crossed: true},
	{CutBody: true},
	{Status: http.StatusInternalServerError},
}

func anyNode(d *deployment, random *rand.Rand) *node { return d.nodes[random.IntN(len(d.nodes))] }

func anyStoreLink(d *deployment, random *rand.Rand) *processtest.Link {
	return anyNode(d, random).store
}

func anyReplicaLink(d *deployment, random *rand.Rand) *processtest.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[random.IntN(len(d.links))]
}

func anyReplica(d *deployment, random *rand.Rand) *replica.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicas[random.IntN(len(d.replicas))]
}

func theConfiguration(d *deployment, _ *rand.Rand) *int { return &d.version }

func theStore(d *deployment, _ *rand.Rand) *store.Store { return d.store }

// storeFault sets a fault of the store.
func storeFault(f store.Fault) func(*deployment, *store.Store, *rand.Rand) func() {
	return func(_ *deployment, s *store.Store, _ *rand.Rand) func() {
		s.SetFault(f)
		return func() { s.SetFault(store.Fault{}) }
	}
}

// silence lets nothing come back through a link.
func silence(_ *deployment, link *processtest.Link, _ *rand.Rand) func() {
	link.Silence()
	return link.Clear
}

// stopWithin is the time that the settings give a stop, and some for the machine.
const stopWithin = 12 * time.Second

// injector makes faults. They overlap, but one thing has one fault at a time.
type injector struct {
	deployment *deployment
	began      time.Time
	running    sync.WaitGroup

	mu     sync.Mutex
	struck map[any]bool
	did    []string
}

// misbehave injects faults until ctx ends and returns what it did. All have ended
// when it returns.
func (d *deployment) misbehave(ctx context.Context, seed uint64) []string {
	i := &injector{
		deployment: d,
		began:      time.Now(),
		struck:     map[any]bool{},
	}
	var series sync.WaitGroup
	series.Go(func() { i.draw(ctx, faults, rand.New(rand.NewPCG(seed, seed))) })
	series.Go(func() { i.draw(ctx, silences, rand.New(rand.NewPCG(seed, ^seed))) })
	series.Wait()
	i.running.Wait()
	return i.did
}

// draw injects one fault after the other until ctx ends.
func (i *injector) draw(ctx context.Context, from []fault, random *rand.Rand) {
	for ctx.Err() == nil {
		f := from[random.IntN(len(from))]
		target := f.target(i.deployment, random)
		length := time.Duration(random.Int64N(int64(lasting)))
		if i.claim(target, fmt.Sprintf("%s for %v", f.name, length.Round(time.Millisecond))) {
			i.inject(f, target, length, random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(between))))
	}
}

// claim notes a fault of a target unless it has one.
func (i *injector) claim(target any, what string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.struck[target] {
		return false
	}
	i.struck[target] = true
	i.did = append(i.did, fmt.Sprintf("%v %s", time.Since(i.began).Round(time.Millisecond), what))
	return true
}

// inject begins a fault and lets it end later.
func (i *injector) inject(f fault, target any, length time.Duration, random *rand.Rand) {
	from := time.Now()
	end := f.begin(i.deployment, target, random)
	i.running.Go(func() {
		time.Sleep(length)
		end()
		if f.unplanned {
			i.deployment.disturb(target, from)
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		i.struck[target] = false
	})
}

// losePower kills all instances at once and starts them again.
func (d *deployment) losePower() {
	for _, n := range d.nodes {
		n.process.Kill()
	}
	for _, n := range d.nodes {
		d.start(n)
	}
}
