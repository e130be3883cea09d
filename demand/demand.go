// Package demand knows what all nodes are asked of each service; replicas are
// ordered by it.
//
// Each node tells the node that reads for its failure domain what it is asked
// itself; that node tells the domain's sum to the others. Package reports
// carries both.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// expires is how long what another node or failure domain told counts: they
	// tell several times a second, and some calls fail.
	expires = 2 * time.Second
	// memory is how long an arrival counts in a rate.
	memory = 3 * time.Second
	// runningMemory is over how long running requests are averaged.
	//
	// Load: an organisation sends six times its usual from one moment to the next.
	// Averaged over three seconds the last of the replicas that this needs were
	// ordered after 3 s, and served 4 s later still. Orders keep the most of the
	// last eight seconds, so that a short average does not make them flap.
	runningMemory = time.Second
)

// Load is what is asked of a service.
type Load struct {
	// Running is how many requests run, on average lately.
	Running float64
	// Arrivals are requests per second.
	Arrivals float64
	// Prompt is prompt tokens per second.
	Prompt float64
	// Work is how many replicas of the usual speed would be busy all the time with
	// the requests whose work is known, Sized of them per second.
	Work  float64
	Sized float64
}

// Loads holds a load for each service.
type Loads map[string]Load

// add adds others service by service.
func (l Loads) add(others Loads) {
	for service, other := range others {
		sum := l[service]
		sum.Running += other.Running
		sum.Arrivals += other.Arrivals
		sum.Prompt += other.Prompt
		sum.Work += other.Work
		sum.Sized += other.Sized
		l[service] = sum
	}
}

// Told is what is asked in one failure domain.
type Told struct {
	Loads Loads
	// Age is how old it is; nodes share no clock.
	Age time.Duration
}

// Demand is what this node and the others are asked. The lock is held for
// microseconds, never during a call to another package.
type Demand struct {
	failureDomain string

	mu       sync.Mutex
	services map[string]*counters
	// nodes holds what nodes of this failure domain told, and domains what their
	// readers told of whole failure domains.
	nodes   map[string]kept
	domains map[string]kept
}

// kept is what was told and when it was true, by this node's clock.
type kept struct {
	loads Loads
	at    time.Time
}

func (k kept) fresh(now time.Time) bool { return now.Sub(k.at) < expires }

// rate is an exponentially weighted sum per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.age(now)
	r.value += amount / memory.Seconds()
}

func (r *rate) age(now time.Time) float64 {
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / memory.Seconds())
	r.at = now
	return r.value
}

// counters are a service's rates at this node.
type counters struct {
	running  int
	average  float64
	at       time.Time
	arrivals rate
	prompt   rate
	work     rate
	sized    rate
}

// run ages the average of running requests and changes the count.
func (c *counters) run(by int, now time.Time) {
	keep := math.Exp(-now.Sub(c.at).Seconds() / runningMemory.Seconds())
	c.average = keep*c.average + (1-keep)*float64(c.running)
	c.at = now
	c.running += by
}

// New returns a table for a node of a failure domain that has counted nothing.
func New(failureDomain string) *Demand {
	return &Demand{
		failureDomain: failureDomain,
		services:      map[string]*counters{},
		nodes:         map[string]kept{},
		domains:       map[string]kept{},
	}
}

func (d *Demand) service(name string, now time.Time) *counters {
	c, ok := d.services[name]
	if !ok {
		c = &counters{
			at: now,
		}
		d.services[name] = c
	}
	return c
}

// Entered counts a request that goes to a service.
func (d *Demand) Entered(service string, prompt int) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.service(service, now)
	c.run(1, now)
	c.arrivals.add(1, now)
	c.prompt.add(float64(prompt), now)
}

// Sent counts the machine time that a request takes from a replica; zero means
// that it is not known.
func (d *Demand) Sent(service string, work time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if work <= 0 {
		return
	}
	c := d.service(service, now)
	c.work.add(work.Seconds(), now)
	c.sized.add(1, now)
}

// Left counts a request that has ended.
func (d *Demand) Left(service string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service, now).run(-1, now)
}

// load is this node's own; the caller holds the lock.
func (c *counters) load(now time.Time) Load {
	c.run(0, now)
	return Load{
		Running:  c.average,
		Arrivals: c.arrivals.age(now),
		Prompt:   c.prompt.age(now),
		Work:     c.work.age(now),
		Sized:    c.sized.age(now),
	}
}

// Own returns what this node is asked.
func (d *Demand) Own() Loads {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own(now)
}

func (d *Demand) own(now time.Time) Loads {
	loads := Loads{}
	for name, c := range d.services {
		loads[name] = c.load(now)
	}
	return loads
}

// HearNode takes in what a node of this failure domain is asked.
func (d *Demand) HearNode(node string, loads Loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[node] = kept{
		loads: loads,
		at:    time.Now(),
	}
}

// HearDomain takes in what a failure domain is asked; older news than what is
// known is dropped.
func (d *Demand) HearDomain(failureDomain string, told Told) {
	at := time.Now().Add(-told.Age)
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.domains[failureDomain].at) {
		d.domains[failureDomain] = kept{
			loads: told.Loads,
			at:    at,
		}
	}
}

// Sum adds this node and those of its failure domain up, for a node that reads
// for its failure domain, and keeps the sum as the domain's.
func (d *Demand) Sum() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.own(now)
	for node, k := range d.nodes {
		if !k.fresh(now) {
			delete(d.nodes, node)
			continue
		}
		sum.add(k.loads)
	}
	d.domains[d.failureDomain] = kept{
		loads: sum,
		at:    now,
	}
}

// Domains returns what is known of one failure domain, or of all where none is named.
func (d *Demand) Domains(failureDomain string) map[string]Told {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]Told{}
	for domain, k := range d.domains {
		if k.fresh(now) && (failureDomain == "" || failureDomain == domain) {
			known[domain] = Told{
				Loads: k.loads,
				Age:   now.Sub(k.at),
			}
		}
	}
	return known
}

// Of returns what all nodes together are asked of a service. Where nothing is
// known of this node's own failure domain, the node itself stands for it.
func (d *Demand) Of(service string) Load {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := Loads{}
	for _, k := range d.domains {
		if k.fresh(now) {
			sum.add(k.loads)
		}
	}
	if !d.domains[d.failureDomain].fresh(now) {
		sum.add(d.own(now))
	}
	return sum[service]
}

// MeanPrompt returns the mean length of a service's prompts in tokens; zero
// while none came.
func (d *Demand) MeanPrompt(service string) float64 {
	load := d.Of(service)
	if load.Arrivals == 0 {
		return 0
	}
	return load.Prompt / load.Arrivals
}
