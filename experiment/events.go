package experiment

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events, ordered by time and then by the order of scheduling.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now       time.Time
	scheduled eventQueue
	order     int
}

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// after schedules a function to run once after a delay.
func (c *clock) after(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.scheduled, event{
		at:    c.now.Add(wait),
		order: c.order,
		run:   run,
	})
}

// every schedules a function to run repeatedly at an interval.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runTo runs all events up to a time and advances the clock to it.
func (c *clock) runTo(end time.Time) {
	for len(c.scheduled) > 0 && !c.scheduled[0].at.After(end) {
		next := heap.Pop(&c.scheduled).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
