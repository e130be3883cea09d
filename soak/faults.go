package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"zinniamast/standin/replica"
	"zinniamast/standin/store"
)

// fault is one fault: begin makes it and returns what ends it.
type fault struct {
	name  string
	begin func(d *deployment, random *rand.Rand) (end func())
}

const (
	// between is the longest time from one fault's beginning to the next one's;
	// faults overlap, since each lasts for up to lasting.
	between = 700 * time.Millisecond
	lasting = 2 * time.Second
)

// faults are all there are.
var faults = []fault{
	{
		name: "kill",
		begin: func(d *deployment, random *rand.Rand) func() {
			n := d.pick(random)
			n.process.Kill()
			return func() { d.start(n) }
		},
	},
	{
		name: "pause",
		begin: func(d *deployment, random *rand.Rand) func() {
			process := d.pick(random).process
			process.Pause()
			return process.Resume
		},
	},
	{
		name: "stop",
		begin: func(d *deployment, random *rand.Rand) func() {
			n := d.pick(random)
			n.process.Terminate()
			return func() {
				_ = n.process.Wait(stopWithin) // How it ended is logged by the process.
				d.start(n)
			}
		},
	},
	{
		name: "store down",
		begin: func(d *deployment, _ *rand.Rand) func() {
			d.store.SetFault(store.Fault{
				Status: http.StatusServiceUnavailable,
			})
			return func() { d.store.SetFault(store.Fault{}) }
		},
	},
	{
		name: "store loses answers",
		begin: func(d *deployment, _ *rand.Rand) func() {
			d.store.SetFault(store.Fault{
				LoseWrites: true,
			})
			return func() { d.store.SetFault(store.Fault{}) }
		},
	},
	{
		name: "one instance's store silent",
		begin: func(d *deployment, random *rand.Rand) func() {
			link := d.pick(random).store
			link.Silence()
			return link.Clear
		},
	},
	{
		name: "replica slow",
		begin: func(d *deployment, random *rand.Rand) func() {
			link := d.links[random.IntN(len(d.links))]
			link.Slow(time.Duration(50+random.IntN(300)) * time.Millisecond)
			return link.Clear
		},
	},
	{
		name: "replica silent",
		begin: func(d *deployment, random *rand.Rand) func() {
			link := d.links[random.IntN(len(d.links))]
			link.Silence()
			return link.Clear
		},
	},
	{
		name: "replica resets",
		begin: func(d *deployment, random *rand.Rand) func() {
			link := d.links[random.IntN(len(d.links))]
			link.Reset()
			return link.Clear
		},
	},
	{
		name: "replica misbehaves",
		begin: func(d *deployment, random *rand.Rand) func() {
			r := d.replicas[random.IntN(len(d.replicas))]
			r.Behave([]replica.Behaviour{
				{NotRun: true},
				{Reset: true},
				{Unsigned: true},
				{Crossed: true},
				{CutBody: true},
				{Status: http.StatusInternalServerError},
			}[random.IntN(6)])
			return func() { r.Behave(replica.Behaviour{}) }
		},
	},
}

// stopWithin is the time that the settings give a stop, and some for the machine.
const stopWithin = 12 * time.Second

// pick draws an instance.
func (d *deployment) pick(random *rand.Rand) *node { return d.nodes[random.IntN(len(d.nodes))] }

// misbehave injects faults until ctx ends, each on another thing at a time, and
// returns what it did. Every fault has ended when it returns.
func (d *deployment) misbehave(ctx context.Context, random *rand.Rand) []string {
	var did []string
	ends := make(chan func())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := range ends {
			end()
		}
	}()
	began := time.Now()
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		did = append(did, fmt.Sprintf("%v %s", time.Since(began).Round(time.Millisecond), f.name))
		end := f.begin(d, random)
		time.Sleep(time.Duration(random.Int64N(int64(lasting))))
		ends <- end
		time.Sleep(time.Duration(random.Int64N(int64(between))))
	}
	close(ends)
	<-done
	return did
}
