package capacity

import (
	"slices"
	"time"

	"zinniamast"
)

// Replica is what [Orders.Plan] needs to know about an engine.
type Replica struct {
	// Instance is the instance's ID.
	Instance string
	// Service is the model deployment that it serves.
	Service string
	// Loaded are the models in its last report.
	Loaded []string
	// Reported is the time of its last report; zero means that there is none.
	Reported time.Time
}

// Command is one order for one instance.
type Command struct {
	Instance string
	Service  string
	Order    zinniamast.Order
}

// Orders records the orders that were sent, so that the controller doesn't repeat
// an order while the engine's report lags behind.
type Orders struct {
	// RetryDelay is how long an order may take to show in a report before it is
	// repeated; it doubles with each repetition. Zero means five minutes, which is
	// longer than a load takes.
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

// Limits of repeated orders and of unloading.
const (
	defaultRetryDelay = 5 * time.Minute
	maxDelayDoublings = 5
	// unloadThreshold is the share of a service's replicas that must have loaded
	// all wanted models before any replica unloads an old one.
	unloadThreshold = 0.9
)

// Plan compares the models that replicas have loaded with those that the demands
// require and returns the orders that are due. An order names the wanted state
// and not a change, so an order that arrives twice or late still asks for what is
// wanted. If a late order of a former holder undoes the wanted state, the next
// report shows it and Plan corrects it.
func (o *Orders) Plan(now time.Time, demands []Demand, replicas []Replica) []Command {
	var commands []Command
	for _, d := range demands {
		ours := slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool {
			return r.Service != d.Service || r.Reported.IsZero()
		})
		complete := 0
		for _, r := range ours {
			if len(missing(d.Models, r.Loaded)) == 0 {
				complete++
			}
		}
		for _, r := range ours {
			for _, model := range missing(d.Models, r.Loaded) {
				commands = o.appendIfDue(commands, now, r, "load", model)
			}
			if len(missing(d.Models, r.Loaded)) > 0 || float64(complete) < unloadThreshold*float64(len(ours)) {
				continue
			}
			for _, model := range missing(r.Loaded, d.Models) {
				commands = o.appendIfDue(commands, now, r, "unload", model)
			}
		}
	}
	return commands
}

// missing returns the wanted models that are not present.
func missing(wanted, present []string) []string {
	var absent []string
	for _, w := range wanted {
		if !slices.Contains(present, w) {
			absent = append(absent, w)
		}
	}
	return absent
}

// appendIfDue appends an order unless the engine may still be carrying out the last
// identical one.
func (o *Orders) appendIfDue(commands []Command, now time.Time, r Replica, action, model string) []Command {
	delay := o.RetryDelay
	if delay == 0 {
		delay = defaultRetryDelay
	}
	last, ok := o.sent[keyOf(r.Instance, action, model)]
	if ok && now.Sub(last.at) < delay<<min(last.tries-1, maxDelayDoublings) {
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

// Sent records that an order was sent.
func (o *Orders) Sent(now time.Time, c Command) {
	if o.sent == nil {
		o.sent = map[orderKey]sentOrder{}
	}
	key := keyOf(c.Instance, c.Order.Action, c.Order.Model)
	o.sent[key] = sentOrder{
		at:    now,
		tries: o.sent[key].tries + 1,
	}
	// The opposite order must not wait if it is wanted again: this order has
	// superseded the last one.
	opposite := "load"
	if c.Order.Action == opposite {
		opposite = "unload"
	}
	delete(o.sent, keyOf(c.Instance, opposite, c.Order.Model))
}

// Retain removes the orders to instances that are no longer alive.
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
