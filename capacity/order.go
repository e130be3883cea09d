package capacity

import (
	"slices"
	"time"

	"zinniamast"
)

// Replica is an engine as the order plan sees it.
type Replica struct {
	// Instance is the instance's ID.
	Instance string
	// Service is the model deployment that it serves.
	Service string
	// Loaded are the models it reported last.
	Loaded []string
	// Reported is when it reported; zero means never.
	Reported time.Time
}

// Command is one order for one instance.
type Command struct {
	Instance string
	Service  string
	Order    zinniamast.Order
}

// Orders remembers what was ordered, so that a report that lags does not make
// the controller order the same again and again.
type Orders struct {
	// RetryDelay is how long an order may take to show in a report; it doubles
	// with each repetition. Zero means five minutes, longer than a load takes.
	RetryDelay time.Duration

	sent map[orderKey]sentOrder
}

type orderKey struct {
	instance, action, model string
}

type sentOrder struct {
	at    time.Time
	tries int
}

// Bounds of orders.
const (
	defaultRetryDelay = 5 * time.Minute
	maxDelayDoublings = 5
	// unloadThreshold is the share of a service's replicas that must hold all new
	// models before any drops an old one.
	unloadThreshold = 0.9
)

// Plan compares what replicas hold with what they shall hold. An order names
// the wanted state and never a change of it, so that one which comes twice or
// late asks for what is wanted anyway; and what a late one spoiled shows in
// the next report and is ordered right.
func (o *Orders) Plan(now time.Time, demands []Demand, replicas []Replica) []Command {
	var commands []Command
	for _, d := range demands {
		mine := slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool {
			return r.Service != d.Service || r.Reported.IsZero()
		})
		complete := 0
		for _, r := range mine {
			if len(missing(d.Models, r.Loaded)) == 0 {
				complete++
			}
		}
		for _, r := range mine {
			for _, model := range missing(d.Models, r.Loaded) {
				commands = o.appendIfDue(commands, now, r, "load", model)
			}
			if len(missing(d.Models, r.Loaded)) > 0 || float64(complete) < unloadThreshold*float64(len(mine)) {
				continue
			}
			for _, model := range missing(r.Loaded, d.Models) {
				commands = o.appendIfDue(commands, now, r, "unload", model)
			}
		}
	}
	return commands
}

// missing returns the wanted that are not there.
func missing(wanted, there []string) []string {
	var none []string
	for _, w := range wanted {
		if !slices.Contains(there, w) {
			none = append(none, w)
		}
	}
	return none
}

// appendIfDue appends an order unless the last one like it may still be at work.
func (o *Orders) appendIfDue(commands []Command, now time.Time, r Replica, action, model string) []Command {
	patience := o.RetryDelay
	if patience == 0 {
		patience = defaultRetryDelay
	}
	last, ok := o.sent[keyOf(r.Instance, action, model)]
	if ok && now.Sub(last.at) < patience<<min(last.tries-1, maxDelayDoublings) {
		return commands
	}
	return append(commands, Command{
		Instance: r.Instance,
		Service:  r.Service,
		Order: zinniamast.Order{
			Action: action,
			Model:  model,
		},
	})
}

// Sent records that an order went out.
func (o *Orders) Sent(now time.Time, c Command) {
	if o.sent == nil {
		o.sent = map[orderKey]sentOrder{}
	}
	key := keyOf(c.Instance, c.Order.Action, c.Order.Model)
	o.sent[key] = sentOrder{
		at:    now,
		tries: o.sent[key].tries + 1,
	}
	// The opposite order may be wanted again at once: what it undid is past.
	opposite := "load"
	if c.Order.Action == opposite {
		opposite = "unload"
	}
	delete(o.sent, keyOf(c.Instance, opposite, c.Order.Model))
}

// Retain forgets orders to instances that are gone.
func (o *Orders) Retain(alive func(instance string) bool) {
	for key := range o.sent {
		if !alive(key.instance) {
			delete(o.sent, key)
		}
	}
}

func keyOf(instance, action, model string) orderKey {
	return orderKey{
		instance: instance,
		action:   action,
		model:    model,
	}
}
