// Package demand tells the nodes what each of them is asked of each service;
// replicas are ordered by it.
package demand

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
)

const (
	// interval is how often a node tells in a small fleet.
	interval = 500 * time.Millisecond
	// heardASecond bounds the nodes heard in a second at any size of the fleet.
	heardASecond = 40
	// expires is how long what a node told counts.
	expires = 1500 * time.Millisecond
	// memory is how long an arrival counts in a rate.
	memory  = 3 * time.Second
	newsKey = "node"
)

// Load is what is asked of a service.
type Load struct {
	// Running is how many requests run, on average lately.
	Running float64
	// Arrivals are requests per second.
	Arrivals float64
	// Prompt is prompt tokens per second.
	Prompt float64
}

// Config says who tells whom.
type Config struct {
	// Node is this instance's name.
	Node string
	// Gossip carries the news.
	Gossip zinniamast.Gossip
	// Nodes returns how many nodes there are.
	Nodes func() int
}

// Demand is what this node and the others are asked. The lock is held for
// microseconds, never during a call to another package but Gossip.
type Demand struct {
	config Config

	mu       sync.Mutex
	services map[uint32]*counters
	others   map[string]told
}

// told is what another node said last.
type told struct {
	services map[uint32]Load
	until    time.Time
}

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
}

// run ages the average of running requests and changes the count.
func (c *counters) run(by int, now time.Time) {
	keep := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	c.average = keep*c.average + (1-keep)*float64(c.running)
	c.at = now
	c.running += by
}

// New returns a table that has counted nothing.
func New(config Config) *Demand {
	d := &Demand{
		config:   config,
		services: map[uint32]*counters{},
		others:   map[string]told{},
	}
	config.Gossip.Subscribe(zinniamast.TopicDemand, d.hear)
	return d
}

func short(name string) uint32 { return uint32(xxh3.HashString(name)) }

func (d *Demand) service(name string, now time.Time) *counters {
	key := short(name)
	c, ok := d.services[key]
	if !ok {
		c = &counters{
			at: now,
		}
		d.services[key] = c
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
	}
}

// Of returns what all nodes together are asked of a service.
func (d *Demand) Of(service string) Load {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.service(service, now).load(now)
	key := short(service)
	for _, other := range d.others {
		if now.After(other.until) {
			continue
		}
		l := other.services[key]
		sum.Running += l.Running
		sum.Arrivals += l.Arrivals
		sum.Prompt += l.Prompt
	}
	return sum
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

// Run tells the other nodes until ctx ends.
func (d *Demand) Run(ctx context.Context) {
	for {
		nodes := time.Duration(d.config.Nodes())
		wait := max(interval, nodes*time.Second/heardASecond)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		d.config.Gossip.Publish(zinniamast.News{
			Topic:   zinniamast.TopicDemand,
			Key:     newsKey,
			Value:   d.encode(time.Now()),
			Expires: time.Now().Add(expires + wait),
			Wide:    true,
		})
	}
}

// serviceBytes is the size of one service in the news: a hash and its figures.
const serviceBytes = 16

// encode writes the load of each service.
func (d *Demand) encode(now time.Time) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	var value []byte
	for key, c := range d.services {
		if len(value)+serviceBytes > zinniamast.MaxNews {
			break
		}
		l := c.load(now)
		value = binary.BigEndian.AppendUint32(value, key)
		for _, figure := range []float64{l.Running, l.Arrivals, l.Prompt} {
			value = appendFloat(value, figure)
		}
	}
	return value
}

func appendFloat(to []byte, figure float64) []byte {
	return binary.BigEndian.AppendUint32(to, math.Float32bits(float32(figure)))
}

func floatAt(data []byte, at int) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(data[at:])))
}

// hear takes in what another node said.
func (d *Demand) hear(news zinniamast.News) {
	if news.Origin == d.config.Node {
		return
	}
	said := told{
		services: map[uint32]Load{},
		// Counted from now, by this node's own clock.
		until: time.Now().Add(expires + time.Duration(d.config.Nodes())*time.Second/heardASecond),
	}
	for data := news.Value; len(data) >= serviceBytes; data = data[serviceBytes:] {
		said.services[binary.BigEndian.Uint32(data)] = Load{
			Running:  floatAt(data, 4),
			Arrivals: floatAt(data, 8),
			Prompt:   floatAt(data, 12),
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[news.Origin] = said
}
